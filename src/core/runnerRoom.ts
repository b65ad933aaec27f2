import type { GenerationTerms, PlaceRequest } from "../types/sendPermit";
import { PlaceLack } from "../types/sendPermit";
import type { KnownGenerations } from "./generationLoad";
import { GenerationLoad } from "./generationLoad";
import { GivenPlaces } from "./givenPlaces";
import { OvertakenReturns } from "./overtakenReturns";
import { ReturnTimes } from "./returnTimes";
import { UnplacedRequests } from "./unplacedRequests";

/** Time after the first request for a place within which what the nodes report of their load counts as well: they have not told yet which requests they have in progress. */
const settleMs = 1_000;
/** Share of the rejections that an upstream bears in a second which may come from requests that are sent although it may be full. */
const trialShare = 0.25;
/** An upstream that bears no rejections gets such requests as one that bears this many. */
const minRejectionsPerS = 0.2;
/** Share of the rejections that an upstream bears in a second after which it gets no requests until that second is over. */
const riskShare = 0.5;
/** An upstream rejects a request within this time, or not for want of room. */
const rejectedWithinMs = 250;
/** Time after a rejection in which each request counts as one that the upstream may reject. */
const cautionMs = 2_000;
/** Shortest interval between two rises of the room. */
const minRaiseIntervalMs = 100;
/** Time for which a place is assumed to be held until one has been given back, and the weight of each that is. */
const initialHoldMs = 200;
const smoothingFactor = 0.2;
/** A node that gives places of less than one to itself leaves as much time again between two. */
const turnSpacingFactor = 2;
/** An upstream that bears at least as many rejections in a second as this is not brittle. */
export const notBrittleRejectionsPerS = 1_000;
const msPerSecond = 1_000;

/** What decides on the room of an upstream, of each request for a place. */
export type RoomTerms = Pick<PlaceRequest, "slots" | "share" | "maxRejectionsPerS" | "load" | "generation"> & Partial<Pick<PlaceRequest, "node">>;

/**
 * The places of one upstream: no more requests than it has slots, and fewer after it has rejected some. A runner that fails beyond its memory gets no more tokens than that
 * holds either, and prompts at intervals.
 */
export class RunnerRoom {
    private readonly places = GivenPlaces.create();
    private readonly load = GenerationLoad.create();
    private readonly unplaced = UnplacedRequests.create();
    private readonly overtaken = OvertakenReturns.create();
    private readonly returnTimes = ReturnTimes.create();
    /** When the upstream rejected requests, within the last second. */
    private rejectedAt: number[] = [];
    private readonly createdAt = performance.now();
    /** Requests in progress when a place was first asked for. */
    private initialLoad: number | undefined;
    /** Requests that the upstream is known to take at a time; undefined while it has rejected none. */
    private learned: number | undefined;
    private raiseAt = 0;
    private cautiousUntil = 0;
    private nextGrantAt = 0;
    private averageHoldMs = initialHoldMs;

    private constructor() {}

    /** Creates the room of an upstream of which no request is known. */
    static create(): RunnerRoom {
        return new RunnerRoom();
    }

    /** Whether nothing is known that a new room would not know. */
    get isIdle(): boolean {
        this.removeExpired();
        return this.places.size + this.unplaced.size + this.overtaken.size === 0 && performance.now() >= Math.max(this.cautiousUntil, this.nextGrantAt) &&
            this.learned === undefined && this.load.isIdle;
    }

    /** Requests in progress at the upstream, as far as they are known for certain. */
    get inUse(): number {
        this.removeExpired();
        return this.places.size + this.unplaced.count;
    }

    /** Takes a place if there is room; returns whether it did. */
    take(id: string, holdMs: number, terms: RoomTerms): boolean {
        return this.lackOf(terms) === undefined && this.add(id, holdMs, terms);
    }

    /** What the upstream lacks for a request now; undefined if it has a place, which must be taken then. */
    lackOf(terms: RoomTerms): PlaceLack | undefined {
        const now = performance.now();
        const { generation, share } = terms;
        const inUse = this.usedBy(terms);
        if (now < this.nextGrantAt || !this.mayRisk(terms)) {
            return PlaceLack.Slots;
        }
        const lack = generation && this.load.lackOf(generation, share, this.knownBy(terms), terms.node);
        if (lack !== undefined) {
            return lack;
        }
        return inUse < this.roomOf(terms) || this.raise(inUse, terms) ? undefined : PlaceLack.Slots;
    }

    /** Whether the place of a request was returned already, so that it must not be given. */
    wasOvertaken(id: string): boolean {
        return this.overtaken.has(id);
    }

    /** What a generation finds in use and asks for, for the log. */
    describe(terms: RoomTerms): Readonly<Record<string, number | undefined>> {
        const { slots, share, generation } = terms;
        const use = generation && this.load.useOf(generation, share, this.knownBy(terms));
        const { tokens: askedTokens, prefillMs } = generation ?? {};
        return { inUse: this.inUse, slots, share, ...use, askedTokens, prefillMs, oldestReportMs: this.unplaced.oldestReportMs };
    }

    /** Whether a request does not wait until other prompts are read. */
    mayPass(terms: RoomTerms): boolean {
        return terms.generation !== undefined && this.load.mayPass(terms.generation, this.knownBy(terms));
    }

    /** Share of the memory that is in use; 0 if no generation has a place. */
    get memoryShare(): number {
        this.removeExpired();
        return this.load.memoryShareOf(this.places.generations, this.unplaced.tokens);
    }

    /** Gives a place whether or not there is room. */
    add(id: string, holdMs: number, terms: RoomTerms): true {
        const { generation, share } = terms;
        this.places.add(id, holdMs, generation);
        this.nextGrantAt = performance.now() + this.spacingMs(terms);
        if (generation) {
            this.load.add(generation, share);
        }
        return true;
    }

    private knownBy(terms: RoomTerms): KnownGenerations {
        return { placed: this.places.generations, unplacedTokens: this.unplaced.tokens, unreported: Math.max(0, this.usedBy(terms) - this.inUse) };
    }

    /** Estimated time until a place is free for a request with others ahead of it. */
    expectedWaitMs(terms: RoomTerms, ahead: number): number {
        const now = performance.now();
        const room = this.roomOf(terms);
        const excess = Math.max(0, this.usedBy(terms) - room);
        const spacingMs = Math.max(this.expectedHoldMs / room, this.spacingMs(terms));
        const slotWaitMs = Math.max(this.nextGrantAt - now, 0) + (ahead + excess + 1) * spacingMs;
        return terms.generation ? this.generationWaitMs(terms, terms.generation, ahead, slotWaitMs) : slotWaitMs;
    }

    /** When a caller that is refused finds room, given the time until there is some: callers return one after the other, as fast as places become free. */
    promiseReturnMs(waitMs: number): number {
        return this.returnTimes.next(waitMs, this.expectedHoldMs / Math.max(1, this.places.size));
    }

    /** Estimated time until a generation finds all that it needs; the wait for a slot counts only if all are in use. */
    private generationWaitMs(terms: RoomTerms, generation: GenerationTerms, ahead: number, slotWaitMs: number): number {
        const otherWaitMs = this.load.waitMs(generation, terms.share, this.knownBy(terms), ahead, this.expectedHoldMs);
        const isSlotFree = this.usedBy(terms) + ahead < this.roomOf(terms);
        return Math.max(otherWaitMs, isSlotFree ? Math.max(this.nextGrantAt - performance.now(), 0) : slotWaitMs);
    }

    /** Time for which a place is held: that of those given back, or the age of the others if they are held for longer. */
    private get expectedHoldMs(): number {
        return Math.max(this.averageHoldMs, this.places.averageAgeMs);
    }

    /** Gives a place back. A request that was rejected says nothing of how long places are held. */
    giveBack(id: string, isRejected = false): void {
        const heldMs = this.places.remove(id);
        if (heldMs === undefined) {
            this.overtaken.add(id);
        }
        else if (!isRejected) {
            this.averageHoldMs += smoothingFactor * (heldMs - this.averageHoldMs);
        }
    }

    /** Records that the upstream rejected a request for want of room, which is no longer in use. */
    onRejected(): void {
        const now = performance.now();
        this.learned = Math.max(1, Math.min(this.learned ?? Number.POSITIVE_INFINITY, this.inUse));
        this.cautiousUntil = now + cautionMs;
        this.rejectedAt = [...this.rejectedAt.filter(at => at > now - msPerSecond), now];
        this.raiseAt = Math.max(this.raiseAt, now + minRaiseIntervalMs);
    }

    /** Records how many requests without a place a node has in progress there, and the tokens of its generations among them. */
    setUnplaced(node: string, count: number, tokens = 0): void {
        this.unplaced.set(node, count, tokens);
    }

    private get isSettling(): boolean {
        return performance.now() - this.createdAt < settleMs;
    }

    private usedBy({ load }: RoomTerms): number {
        if (!this.isSettling) {
            return this.inUse;
        }
        this.initialLoad ??= load;
        return Math.max(this.inUse, this.places.size + this.initialLoad);
    }

    private roomOf({ slots, share }: RoomTerms): number {
        const ownSlots = Math.max(1, Math.floor(slots * share));
        return Math.min(ownSlots, this.learned ?? ownSlots);
    }

    /** Raises a room that was learned by one, if that is due and the upstream may have more; returns whether it did. */
    private raise(inUse: number, terms: RoomTerms): boolean {
        const now = performance.now();
        const { slots, share } = terms;
        if (this.learned === undefined || inUse > this.learned || now < this.raiseAt || this.learned + 1 > Math.floor(slots * share)) {
            return false;
        }
        this.learned++;
        this.raiseAt = now + this.trialIntervalMs(terms);
        if (this.learned >= slots) {
            this.learned = undefined;
        }
        return true;
    }

    /** Whether the upstream may reject one more request. One that has taken requests for a while, and rejected none, is taken to have room. */
    private mayRisk({ share, maxRejectionsPerS }: RoomTerms): boolean {
        const now = performance.now();
        this.rejectedAt = this.rejectedAt.filter(at => at > now - msPerSecond);
        const rejected = this.rejectedAt.length;
        if (rejected > 0) {
            return rejected + 1 <= riskShare * share * maxRejectionsPerS;
        }
        const isTrusted = this.learned === undefined && !this.isSettling;
        return isTrusted || this.places.countYounger(rejectedWithinMs) < Math.max(1, share * maxRejectionsPerS);
    }

    private trialIntervalMs({ share, maxRejectionsPerS }: RoomTerms): number {
        return Math.max(minRaiseIntervalMs, msPerSecond / (trialShare * share * Math.max(minRejectionsPerS, maxRejectionsPerS)));
    }

    private spacingMs(terms: RoomTerms): number {
        const ownSlots = terms.slots * terms.share;
        const turnMs = ownSlots < 1 ? turnSpacingFactor * this.averageHoldMs / ownSlots : 0;
        const isCautious = performance.now() < this.cautiousUntil && terms.maxRejectionsPerS < notBrittleRejectionsPerS;
        return Math.max(turnMs, isCautious ? this.trialIntervalMs(terms) : 0);
    }

    private removeExpired(): void {
        const now = performance.now();
        this.places.removeExpired(now);
        this.unplaced.removeExpired(now);
        this.overtaken.removeExpired(now);
    }
}

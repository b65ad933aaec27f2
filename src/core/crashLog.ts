import type { DurableCrashes } from "../types/controllerLease";
import { EventId } from "../types/eventId";
import type { Quarantine } from "../types/quarantine";
import type { RunnerCrash } from "../types/runnerCrash";
import { emit } from "../utils/events";
import { AnsweredParts } from "./answeredParts";
import type { CrashRecord } from "./findCrashingParts";
import { findCrashingParts, minCrashesOfQuarantine } from "./findCrashingParts";
import { isRequestKey } from "./requestKeys";
import type { RevisionCounter } from "./sharedLog";
import { ChangeOrigin, SharedLog } from "./sharedLog";

/** Crashes are forgotten after this time, and with them the quarantines that they caused. */
const crashLifetimeMs = 3_600_000;
/** Crashes and, for each, suspected requests that are kept. */
const maxCrashes = 256;
const maxSuspects = 256;
/** An answer that began up to this long before a crash clears its parts: what one runner answered does not crash the next. */
const clearingLeadMs = 2_000;
/** Time after the last crash until one request may be sent to find out whether a quarantine is still needed, and its growth with each crash that counts. */
const initialTrialDelayMs = 60_000;
const trialDelayGrowth = 4;
/** Minimum time between two trials of a quarantine. */
const minTrialPauseMs = 30_000;
/** Number of quarantines, and of their latest crashes, that outlive the nodes. */
const maxStoredQuarantines = 32;
const maxStoredCrashes = 5;

/** Crashes of runners, merged from all nodes, and the prompt parts that explain them. */
export class CrashLog implements DurableCrashes {
    private readonly crashes: SharedLog<CrashRecord>;
    private readonly answeredPrompts = AnsweredParts.create();
    /** Kept apart: each request has keys of its own, which would displace the prompt parts. */
    private readonly answeredRequests = AnsweredParts.create();
    /** Suspected parts that no answer has cleared. */
    private openParts: ReadonlySet<string> = new Set();
    private quarantines: readonly Quarantine[] = [];
    private nextExpiryAt = Number.POSITIVE_INFINITY;
    private readonly lastTrialAt = new Map<string, number>();
    /** Whether this node may send the trial request of a quarantine; one node does. */
    isTrialNode: (part: string) => boolean = () => false;
    /** Called when a crash or an answer of this node, or of one that reports to it, changed what other nodes should know. */
    onOutgoing: () => void = () => undefined;

    private constructor(counter: RevisionCounter) {
        this.crashes = SharedLog.create(counter);
    }

    /** Creates an empty log. */
    static create(counter: RevisionCounter = { value: 0 }): CrashLog {
        return new CrashLog(counter);
    }

    /** The parts that are in quarantine now. */
    get quarantined(): readonly Quarantine[] {
        this.removeExpired();
        return this.quarantines;
    }

    /** The quarantine that forbids a request with these parts. */
    findBlocking(parts: readonly string[]): Quarantine | undefined {
        return this.quarantined.find(quarantine => quarantine.parts.every(part => parts.includes(part)));
    }

    /** Whether a request may be sent in spite of a quarantine, to find out whether it is still needed. */
    startTrial(quarantine: Quarantine): boolean {
        const part = quarantine.parts[0]!;
        const now = performance.now();
        const isDue = this.trialInMs(quarantine) === 0 && now - (this.lastTrialAt.get(part) ?? Number.NEGATIVE_INFINITY) > minTrialPauseMs;
        if (!isDue || !this.isTrialNode(part)) {
            return false;
        }
        this.lastTrialAt.set(part, now);
        emit(EventId.PromptTried, { parts: quarantine.parts });
        return true;
    }

    /** Time until a quarantine may be tried again. */
    trialInMs({ crashes }: Quarantine): number {
        return Math.max(0, crashes.at(-1)!.at + initialTrialDelayMs * trialDelayGrowth ** (crashes.length - minCrashesOfQuarantine) - performance.now());
    }

    /** Merges a crash with what is known of it. */
    add(crash: RunnerCrash, origin = ChangeOrigin.Below): void {
        const { id, ageMs, suspects } = crash;
        if (ageMs > crashLifetimeMs) {
            return;
        }
        const known = this.crashes.get(id);
        const at = Math.min(known?.at ?? Number.POSITIVE_INFINITY, performance.now() - ageMs);
        const merged = new Map([...known?.suspects ?? [], ...suspects].slice(0, maxSuspects).map(parts => [parts.join(" "), parts]));
        const told = new Set([...known?.cleared ?? [], ...crash.cleared]);
        const cleared = new Set([...told, ...[...merged.values()].flat().filter(part => this.lastAnsweredAt(part) > at - clearingLeadMs)]);
        const isUnchanged = known && merged.size === known.suspects.length && cleared.size === known.cleared.size;
        if (!isUnchanged) {
            // Answers of this node that clear parts are news to the uplink, too.
            const hasOwnNews = origin === ChangeOrigin.Below || cleared.size > told.size;
            this.replace({ id, at, suspects: [...merged.values()], cleared }, hasOwnNews ? ChangeOrigin.Below : origin);
        }
    }

    /** Whether a crash may have come from one of the parts. */
    isSuspected(parts: readonly string[]): boolean {
        return parts.some(part => this.openParts.has(part));
    }

    /** Records that a runner answered a request without crashing; the answer began at a time on the monotonic clock. */
    onAnswered(parts: readonly string[], beganAt: number): void {
        this.answeredPrompts.record(parts.filter(part => !isRequestKey(part)), beganAt);
        this.answeredRequests.record(parts.filter(isRequestKey), beganAt);
        if (!this.isSuspected(parts)) {
            return;
        }
        for (const crash of this.crashes.values()) {
            const clearable = parts.filter(part =>
                !crash.cleared.has(part) && beganAt > crash.at - clearingLeadMs && crash.suspects.some(suspect => suspect.includes(part))
            );
            if (clearable.length > 0) {
                this.replace({ ...crash, cleared: new Set([...crash.cleared, ...clearable]) }, ChangeOrigin.Below);
            }
        }
    }

    /** Crashes that changed after a revision, or only those whose change did not come from the uplink. */
    changesSince(revision: number, isOutgoing = false): readonly RunnerCrash[] {
        this.removeExpired();
        return (isOutgoing ? this.crashes.outgoingSince(revision) : this.crashes.since(revision)).map(toRunnerCrash);
    }

    /** What has to outlive the nodes: the crashes behind the quarantines, with nothing else that was in progress. */
    get durable(): readonly RunnerCrash[] {
        return this.quarantined.slice(0, maxStoredQuarantines).flatMap(({ parts, crashes }) =>
            crashes.slice(-maxStoredCrashes).map(({ id, at }) => ({ id, ageMs: performance.now() - at, suspects: [parts], cleared: [] }))
        );
    }

    private lastAnsweredAt(part: string): number {
        return (isRequestKey(part) ? this.answeredRequests : this.answeredPrompts).lastAt(part);
    }

    private replace(crash: CrashRecord, origin: ChangeOrigin): void {
        this.crashes.set(crash.id, crash, origin);
        this.removeSurplus();
        this.evaluate();
        if (origin === ChangeOrigin.Below) {
            this.onOutgoing();
        }
    }

    /** Finds the quarantines that follow from the crashes, and logs those that begin or end. */
    private evaluate(): void {
        const crashes = this.crashes.values();
        this.openParts = new Set(crashes.flatMap(({ suspects, cleared }) => suspects.flat().filter(part => !cleared.has(part))));
        this.nextExpiryAt = Math.min(...crashes.map(({ at }) => at + crashLifetimeMs));
        const before = this.quarantines;
        this.quarantines = findCrashingParts(crashes, part => this.lastAnsweredAt(part) > Number.NEGATIVE_INFINITY);
        const keysBefore = new Set(before.map(keyOf));
        const keys = new Set(this.quarantines.map(keyOf));
        for (const quarantine of this.quarantines.filter(entry => !keysBefore.has(keyOf(entry)))) {
            const crashAges = quarantine.crashes.map(({ id, at }) => `${id} ${Math.round(performance.now() - at)} ms ago`);
            emit(EventId.PromptQuarantined, { parts: quarantine.parts, crashes: crashAges });
        }
        for (const { parts } of before.filter(entry => !keys.has(keyOf(entry)))) {
            emit(EventId.PromptQuarantineEnded, { parts });
        }
        for (const part of this.lastTrialAt.keys()) {
            if (!this.quarantines.some(({ parts }) => parts[0] === part)) {
                this.lastTrialAt.delete(part);
            }
        }
    }

    private removeExpired(): void {
        const now = performance.now();
        if (now >= this.nextExpiryAt) {
            this.crashes.values().filter(({ at }) => at + crashLifetimeMs <= now).forEach(({ id }) => this.crashes.delete(id));
            this.evaluate();
        }
    }

    /** Removes the oldest crashes beyond the limit, those that explain no quarantine first. */
    private removeSurplus(): void {
        const surplus = this.crashes.size - maxCrashes;
        if (surplus > 0) {
            const explaining = new Set(this.quarantines.flatMap(quarantine => quarantine.crashes.map(({ id }) => id)));
            const removable = [...this.crashes.values()].sort((a, b) => Number(explaining.has(a.id)) - Number(explaining.has(b.id)) || a.at - b.at);
            removable.slice(0, surplus).forEach(({ id }) => this.crashes.delete(id));
        }
    }
}

const keyOf = ({ parts }: Quarantine): string => parts.join(" ");

const toRunnerCrash = ({ id, at, suspects, cleared }: CrashRecord): RunnerCrash => ({ id, ageMs: performance.now() - at, suspects, cleared: [...cleared] });

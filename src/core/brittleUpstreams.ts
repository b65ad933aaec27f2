import { EventId } from "../types/eventId";
import type { BrittleUpstream, UpstreamProcess, UpstreamWord } from "../types/upstreamWord";
import { IgnoredHeader } from "../types/upstreamWord";
import { emit } from "../utils/events";
import type { RevisionCounter } from "./sharedLog";
import { ChangeOrigin, SharedLog } from "./sharedLog";

/** A word that no answer has confirmed for this long is forgotten. */
const wordLifetimeMs = 600_000;
/** A word that is confirmed is told to other nodes at this interval, so that it does not expire there. */
const confirmIntervalMs = 60_000;
const maxEntries = 2_048;

interface Known extends UpstreamProcess {
    readonly service: string | undefined;
    readonly maxRejectionsPerS: number | undefined;
    /** When an answer said so last, and when one first did, on the monotonic clock. */
    readonly at: number;
    readonly since: number;
}

/** Why an upstream no longer counts as brittle. */
enum BrittleEnd {
    Answer = "answer",
    Expired = "expired",
}

const invalidWords: ReadonlySet<IgnoredHeader> = new Set([IgnoredHeader.BrittleRepeated, IgnoredHeader.BrittleValue]);

/**
 * The upstreams that say that they are brittle, merged from all nodes. A process of which nothing is known yet is taken to be as the one of its service that was
 * heard of last.
 */
export class BrittleUpstreams {
    private readonly entries: SharedLog<Known>;
    private readonly latestByService = new Map<string, Known>();
    /** When this node last merged a word of each upstream; confirmations are told to others less often. */
    private readonly confirmedAt = new Map<string, number>();
    /** Entries that say that their process is brittle. */
    private count = 0;
    /** Called when this node, or one that reports to it, heard of a change. */
    onOutgoing: () => void = () => undefined;

    private constructor(counter: RevisionCounter, private readonly serviceOf: (id: string) => string | undefined) {
        this.entries = SharedLog.create(counter);
    }

    /** Creates an empty log; `serviceOf` returns the service of an upstream in the directory. */
    static create(counter: RevisionCounter, serviceOf: (id: string) => string | undefined): BrittleUpstreams {
        return new BrittleUpstreams(counter, serviceOf);
    }

    /** Number of upstreams that are brittle, as far as is known. */
    get size(): number {
        return this.count;
    }

    /** Rejections in a second beyond which an upstream fails; undefined if it is not brittle. */
    limitOf({ id, bornAt, service }: UpstreamProcess & { readonly service: string; }): number | undefined {
        if (this.count === 0) {
            return undefined;
        }
        const known = this.entries.get(id);
        const entry = known && known.bornAt >= bornAt ? known : this.latestByService.get(service);
        if (entry?.maxRejectionsPerS === undefined || performance.now() - entry.at < wordLifetimeMs) {
            return entry?.maxRejectionsPerS;
        }
        this.set({ ...entry, maxRejectionsPerS: undefined }, ChangeOrigin.Uplink, BrittleEnd.Expired);
        return undefined;
    }

    /** Records what an answer says, or no longer says; `sentAt` is when its request was sent, if that is known. */
    onAnswer(process: UpstreamProcess, { maxRejectionsPerS, isSigned, ignoredHeaders }: UpstreamWord, request?: string, sentAt?: number): void {
        if (maxRejectionsPerS === undefined && (this.count === 0 || !isSigned || ignoredHeaders.some(reason => invalidWords.has(reason)))) {
            return;
        }
        const { id, bornAt } = process;
        const service = this.serviceOf(id);
        const entry = this.findOwn(process) ?? (service === undefined ? undefined : this.latestByService.get(service));
        // An answer to a request from before the word may have been written before it.
        const endsWord = sentAt !== undefined && entry?.maxRejectionsPerS !== undefined && sentAt > this.latestAt(entry);
        if (maxRejectionsPerS !== undefined || endsWord) {
            this.merge({ id, bornAt, service, maxRejectionsPerS, ageMs: 0 }, ChangeOrigin.Below, request);
        }
    }

    /** Merges what another node heard; the newest counts. */
    add(word: BrittleUpstream, origin = ChangeOrigin.Below): void {
        if (word.ageMs < wordLifetimeMs) {
            this.merge(word, origin);
        }
    }

    /** Entries that changed after a revision, or only those whose change did not come from the uplink. */
    changesSince(revision: number, isOutgoing = false): readonly BrittleUpstream[] {
        const changes = isOutgoing ? this.entries.outgoingSince(revision) : this.entries.since(revision);
        return changes.map(({ id, bornAt, service, maxRejectionsPerS, at }) => ({ id, bornAt, service, maxRejectionsPerS, ageMs: performance.now() - at }));
    }

    private latestAt({ id, at }: Known): number {
        return Math.max(at, this.confirmedAt.get(id) ?? at);
    }

    private findOwn({ id, bornAt }: UpstreamProcess): Known | undefined {
        const known = this.entries.get(id);
        return known && known.bornAt >= bornAt ? known : undefined;
    }

    private merge({ id, bornAt, service = this.serviceOf(id), maxRejectionsPerS, ageMs }: BrittleUpstream, origin: ChangeOrigin, request?: string): void {
        const at = performance.now() - ageMs;
        const latest = this.entries.get(id);
        if (latest && (bornAt < latest.bornAt || (bornAt === latest.bornAt && at <= this.latestAt(latest)))) {
            return;
        }
        this.confirmedAt.set(id, at);
        const known = latest?.bornAt === bornAt ? latest : undefined;
        const isChanged = known ? known.maxRejectionsPerS !== maxRejectionsPerS : true;
        if (!isChanged && known && at - known.at < confirmIntervalMs) {
            return;
        }
        const since = isChanged || !known ? at : known.since;
        this.set({ id, bornAt, service, maxRejectionsPerS, at, since }, origin, BrittleEnd.Answer, request);
        if (isChanged && origin === ChangeOrigin.Below) {
            this.onOutgoing();
        }
    }

    private set(entry: Known, origin: ChangeOrigin, end: BrittleEnd, request?: string): void {
        const { id, bornAt, service, maxRejectionsPerS, at } = entry;
        const before = this.entries.get(id);
        const isBefore = before?.bornAt === bornAt && before.maxRejectionsPerS !== undefined;
        this.entries.set(id, entry, origin);
        if (service !== undefined && at >= (this.latestByService.get(service)?.at ?? Number.NEGATIVE_INFINITY)) {
            this.latestByService.set(service, entry);
        }
        this.removeSurplus();
        this.count = this.entries.values().filter(known => known.maxRejectionsPerS !== undefined).length;
        const fields = { upstream: id, bornAt, service, origin, request };
        if (maxRejectionsPerS !== undefined && (!isBefore || before.maxRejectionsPerS !== maxRejectionsPerS)) {
            emit(EventId.UpstreamBrittle, { ...fields, maxRejectionsPerS, ageMs: Math.round(performance.now() - at) });
        }
        else if (maxRejectionsPerS === undefined && isBefore) {
            emit(EventId.UpstreamBrittleEnded, { ...fields, reason: end, afterMs: Math.round(performance.now() - before.since) });
        }
    }

    private removeSurplus(): void {
        if (this.entries.size > maxEntries) {
            const byAge = [...this.entries.values()].sort((a, b) => a.at - b.at);
            for (const { id } of byAge.slice(0, this.entries.size - maxEntries)) {
                this.entries.delete(id);
                this.confirmedAt.delete(id);
            }
        }
    }
}

import { EventId } from "../types/eventId";
import type { RunnerLimit } from "../types/runnerLimit";
import { emit } from "../utils/events";
import type { RevisionCounter } from "./sharedLog";
import { ChangeOrigin, SharedLog } from "./sharedLog";

/** A limit that no answer has confirmed for this long is forgotten. */
const limitLifetimeMs = 600_000;
/** Added to the predicted time of a runner that has named a limit: it is in need, and others are preferred. */
const limitPenaltyMs = 300;
/** Without a confirmation for this long the runner is no longer avoided, so that the answer to a paced request tells whether the limit still holds. */
const penaltyLifetimeMs = 20_000;
/** A limit that is named again is told to other nodes at this interval, so that it does not expire there. */
const confirmIntervalMs = 10_000;
const maxLimits = 2_048;

interface KnownLimit {
    readonly runner: string;
    readonly perSecond: number | undefined;
    /** When it was named, on the monotonic clock. */
    readonly at: number;
}

/** The limits that runners name in their answers, merged from all nodes. */
export class RunnerLimits {
    private readonly limits: SharedLog<KnownLimit>;
    /** When a turn is next expected to be free, by runner; from the last permits. */
    private readonly nextTurnAt = new Map<string, number>();
    /** Called when this node, or one that reports to it, heard of a change. */
    onOutgoing: () => void = () => undefined;

    private constructor(counter: RevisionCounter) {
        this.limits = SharedLog.create(counter);
    }

    static create(counter: RevisionCounter = { value: 0 }): RunnerLimits {
        return new RunnerLimits(counter);
    }

    /** Requests per second that a runner takes from all nodes together; undefined without a limit. */
    limitOf(runner: string): number | undefined {
        if (this.limits.size === 0) {
            return undefined;
        }
        const known = this.limits.get(runner);
        return known && performance.now() - known.at < limitLifetimeMs ? known.perSecond : undefined;
    }

    /** Records what the answer to a request says, which was sent at a time on the monotonic clock. */
    onAnswer(runner: string, perSecond: number | undefined, sentAt: number): void {
        const known = this.limits.get(runner);
        // An answer without a limit to a request from before the limit was named says nothing of it.
        if (perSecond === undefined && (known?.perSecond === undefined || sentAt < known.at)) {
            return;
        }
        this.set({ runner, perSecond, at: performance.now() }, ChangeOrigin.Below);
    }

    /** Merges what another node heard; the newest counts. */
    add({ runner, perSecond, ageMs }: RunnerLimit, origin = ChangeOrigin.Below): void {
        const at = performance.now() - ageMs;
        if (ageMs < limitLifetimeMs && at > (this.limits.get(runner)?.at ?? Number.NEGATIVE_INFINITY)) {
            this.set({ runner, perSecond, at }, origin);
        }
    }

    /** Limits that changed after a revision, or only those whose change did not come from the uplink. */
    changesSince(revision: number, isOutgoing = false): readonly RunnerLimit[] {
        const changes = isOutgoing ? this.limits.outgoingSince(revision) : this.limits.since(revision);
        return changes.map(({ runner, perSecond, at }) => ({ runner, perSecond, ageMs: performance.now() - at }));
    }

    /** Records how long the next turn at a runner takes. */
    onPermit(runner: string, waitMs: number): void {
        this.nextTurnAt.delete(runner);
        this.nextTurnAt.set(runner, performance.now() + waitMs);
        if (this.nextTurnAt.size > maxLimits) {
            const [oldest] = this.nextTurnAt.keys();
            this.nextTurnAt.delete(oldest!);
        }
    }

    /** What the limit adds to the predicted time of a request at a runner; undefined without a limit. */
    delayOf(runner: string): number | undefined {
        if (this.limitOf(runner) === undefined) {
            return undefined;
        }
        const isConfirmed = performance.now() - this.limits.get(runner)!.at < penaltyLifetimeMs;
        return this.expectedWaitMs(runner) + (isConfirmed ? limitPenaltyMs : 0);
    }

    /** Estimated time until the next turn at a runner. */
    expectedWaitMs(runner: string): number {
        return Math.max(0, (this.nextTurnAt.get(runner) ?? 0) - performance.now());
    }

    private set(limit: KnownLimit, origin: ChangeOrigin): void {
        const known = this.limits.get(limit.runner);
        const isChanged = known?.perSecond !== limit.perSecond;
        if (!isChanged && known && limit.at - known.at < confirmIntervalMs) {
            return;
        }
        this.limits.set(limit.runner, limit, origin);
        this.removeExpired();
        if (isChanged) {
            emit(EventId.RunnerLimitChanged, { runner: limit.runner, perSecond: limit.perSecond, before: known?.perSecond, origin });
            if (origin === ChangeOrigin.Below) {
                this.onOutgoing();
            }
        }
    }

    private removeExpired(): void {
        const now = performance.now();
        const byAge = [...this.limits.values()].sort((a, b) => a.at - b.at);
        const removed = byAge.filter(({ at }, index) => now - at >= limitLifetimeMs || index < byAge.length - maxLimits);
        for (const { runner } of removed) {
            this.limits.delete(runner);
            this.nextTurnAt.delete(runner);
        }
    }
}

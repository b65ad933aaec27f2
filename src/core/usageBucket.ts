import { randomUUID } from "node:crypto";

const msPerSecond = 1_000;
/** Refused callers are given times up to this far ahead, one after the other. */
const maxReturnMs = 2_000;
/** Callers whose turn would be later return at random times within the last part of that. */
const lateReturnShare = 0.5;

/** Rate at which a bucket is refilled, and its largest level. */
export interface BucketLimit {
    readonly perSecond: number;
    readonly burst: number;
}

/** A customer's allowance: a token bucket that may be overdrawn by one request, so that one larger than the burst can be admitted at all. */
export class UsageBucket {
    /** Identifies the bucket in returns. */
    readonly id = randomUUID();
    private readAt = performance.now();
    /** When the bucket is empty again after all refused requests have come back at their times. */
    private promisedUntil = Number.NEGATIVE_INFINITY;

    private constructor(private limit: BucketLimit, private lastLevel: number, /** When it was empty, on the monotonic clock. */ readonly since: number) {}

    /** Creates the bucket of a customer whose charges this node has known since a time; before that, the whole allowance may have been used. */
    static create(limit: BucketLimit, since: number): UsageBucket {
        return new UsageBucket(limit, Math.min(limit.burst, limit.perSecond * Math.max(0, performance.now() - since) / msPerSecond), since);
    }

    /** Units that may be used now; negative after a charge that overdrew it. */
    get level(): number {
        const now = performance.now();
        const { perSecond, burst } = this.limit;
        this.lastLevel = Math.min(burst, this.lastLevel + perSecond * (now - this.readAt) / msPerSecond);
        this.readAt = now;
        return this.lastLevel;
    }

    /** Whether a new bucket would not admit less. */
    get isFull(): boolean {
        return this.level >= this.limit.burst;
    }

    /** Deducts units if the level suffices; returns whether it did. */
    take(units: number): boolean {
        if (this.level < Math.min(units, this.limit.burst)) {
            return false;
        }
        this.lastLevel -= units;
        return true;
    }

    /** Adds units that were deducted for a request that did not run. */
    giveBack(units: number): void {
        this.lastLevel = Math.min(this.limit.burst, this.level + units);
    }

    /** Applies a new limit: its rate holds from now on, the level is capped at its burst, and a higher burst adds the difference. */
    setLimit(limit: BucketLimit): void {
        const raise = Math.max(0, limit.burst - this.limit.burst);
        this.lastLevel = Math.min(limit.burst, this.level + raise);
        this.limit = limit;
    }

    /** Time after which a refused request is to come back. Refused requests get consecutive times, so that they do not take each other's room. */
    returnInMs(units: number, random: () => number): number {
        const now = performance.now();
        const { perSecond, burst } = this.limit;
        if (perSecond <= 0) {
            return maxReturnMs * (1 - lateReturnShare * random());
        }
        const emptyAt = Math.max(now - this.level / perSecond * msPerSecond, this.promisedUntil);
        const at = Math.max(now, emptyAt + Math.min(units, burst) / perSecond * msPerSecond);
        if (at > now + maxReturnMs) {
            return maxReturnMs * (1 - lateReturnShare * random());
        }
        this.promisedUntil = emptyAt + units / perSecond * msPerSecond;
        return at - now;
    }
}

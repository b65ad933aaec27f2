/** A refused caller was refused by up to this many upstreams, of which it returns to one. */
const refusingUpstreams = 3;
/** Refused callers are told to return within this time, or when there is room if that is later. */
const maxAheadMs = 2_000;
const minSpreadMs = 200;

/** When callers that an upstream had no room for are told to return: one after the other, as fast as places become free. */
export class ReturnTimes {
    private promisedUntil = 0;

    private constructor() {}

    static create(): ReturnTimes {
        return new ReturnTimes();
    }

    /** Time after which the next caller finds room, given the time until there is some and the interval at which places become free. */
    next(waitMs: number, intervalMs: number): number {
        const now = performance.now();
        const aheadMs = Math.max(0, this.promisedUntil - now - waitMs);
        // Beyond the last time callers are spread over the same times once more.
        const returnMs = waitMs + aheadMs % Math.max(minSpreadMs, maxAheadMs - waitMs);
        this.promisedUntil = now + returnMs + intervalMs / refusingUpstreams;
        return returnMs;
    }
}

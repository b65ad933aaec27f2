import type { RunnerTraffic } from "./chooseRunner";

/** Limits on the requests in flight at one runner. */
const initialLimit = 32;
const minLimit = 1;
const maxLimit = 512;
/** Factor applied to the limit on an overload or a lost connection. */
const decreaseFactor = 0.8;
/** Weight of a new sample in the exponential moving average. */
const smoothingFactor = 0.2;
/** A time to first token above this multiple of the average counts as overload. */
const overloadFactor = 4;

/**
 * Limits a node's requests in flight at one runner by additive increase and multiplicative decrease: the limit rises by about one for each
 * full window of answers and falls by a factor on overload.
 */
export class ConcurrencyLimiter implements RunnerTraffic {
    inFlight = 0;
    limit = initialLimit;
    firstTokenMs: number | undefined;

    private constructor() {}

    /** Creates a limiter for a runner that has not been used yet. */
    static create(): ConcurrencyLimiter {
        return new ConcurrencyLimiter();
    }

    /** Counts a request that was sent. */
    start(): void {
        this.inFlight++;
    }

    /** Counts a request that ended. */
    end(): void {
        this.inFlight--;
    }

    /** Records the time to first token of an attempt. */
    onFirstToken(ms: number): void {
        const average = this.firstTokenMs ?? ms;
        if (ms > average * overloadFactor) {
            this.onOverload();
        }
        else if (this.inFlight >= this.limit / 2) {
            this.limit = Math.min(maxLimit, this.limit + 1 / this.limit);
        }
        this.firstTokenMs = average + smoothingFactor * (ms - average);
    }

    /** Lowers the limit after a refusal, a timeout, a lost connection or a slow first token. */
    onOverload(): void {
        this.limit = Math.max(minLimit, this.limit * decreaseFactor);
    }
}

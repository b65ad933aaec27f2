import type { RunnerTraffic } from "./chooseRunner";

const initialLimit = 32;
const minLimit = 1;
const maxLimit = 512;
/** Factor by which a limit falls on an overload or loss. */
const decrease = 0.8;
/** Weight of a new sample in the moving average. */
const smoothing = 0.2;
/** A first token slower than this many times the average counts as overload. */
const overloadFactor = 4;

/** A node's traffic to one upstream, with a limit that rises by one a round and falls by a factor. */
export class ConcurrencyLimiter implements RunnerTraffic {
    inFlight = 0;
    limit = initialLimit;
    firstTokenMs: number | undefined;

    private constructor() {}

    /** Makes a limit for an upstream that has not been used yet. */
    static create(): ConcurrencyLimiter {
        return new ConcurrencyLimiter();
    }

    /** Counts a request out. */
    start(): void {
        this.inFlight++;
    }

    /** Counts a request back in. */
    end(): void {
        this.inFlight--;
    }

    /** Takes the time to first token of an attempt that was answered. */
    onFirstToken(ms: number): void {
        const average = this.firstTokenMs ?? ms;
        if (ms > average * overloadFactor) {
            this.onOverload();
        }
        else if (this.inFlight >= this.limit / 2) {
            this.limit = Math.min(maxLimit, this.limit + 1 / this.limit);
        }
        this.firstTokenMs = average + smoothing * (ms - average);
    }

    /** Takes a refusal for load, a timeout or a lost connection. */
    onOverload(): void {
        this.limit = Math.max(minLimit, this.limit * decrease);
    }
}

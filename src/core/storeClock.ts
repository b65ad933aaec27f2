import type { ClockReading } from "../utils/clockReading";
import { maxElapsedMs } from "../utils/clockReading";

/** One answer of the store that carried its time. */
interface Sample {
    readonly storeMs: number;
    readonly requestedAt: ClockReading;
    /** Time of the answer on this node's monotonic clock. */
    readonly answeredAt: number;
}

/** Lower and upper bound of the store's monotonic clock at present, derived from the last answer that carried it. */
export class StoreClock {
    private sample: Sample | undefined;

    private constructor() {}

    /** The bounds are infinite until the first answer. */
    static create(): StoreClock {
        return new StoreClock();
    }

    /** Updates the bounds from an answer's time. */
    onAnswer(storeMs: number, requestedAt: ClockReading): void {
        this.sample = { storeMs, requestedAt, answeredAt: performance.now() };
    }

    /** Lower bound of the store's clock. */
    get earliestMs(): number {
        return this.sample ? this.sample.storeMs + performance.now() - this.sample.answeredAt : Number.NEGATIVE_INFINITY;
    }

    /** Upper bound of the store's clock, even if this VM was suspended since the answer. */
    get latestMs(): number {
        return this.sample ? this.sample.storeMs + maxElapsedMs(this.sample.requestedAt) : Number.POSITIVE_INFINITY;
    }
}

import type { ClockReading } from "../utils/clockReading";
import { maxElapsedMs } from "../utils/clockReading";

/** One answer of the store that carried its time. */
interface Sample {
    readonly storeMs: number;
    readonly askedAt: ClockReading;
    /** On this node's monotonic clock. */
    readonly answeredAt: number;
}

/** Bounds of the store's steady clock at this moment, from the last answer that carried it. */
export class StoreClock {
    private sample: Sample | undefined;

    private constructor() {}

    /** Makes a clock without bounds. */
    static create(): StoreClock {
        return new StoreClock();
    }

    /** Takes the store's time from an answer. */
    onAnswer(storeMs: number, askedAt: ClockReading): void {
        this.sample = { storeMs, askedAt, answeredAt: performance.now() };
    }

    /** The store's clock shows at least this. */
    get earliestMs(): number {
        return this.sample ? this.sample.storeMs + performance.now() - this.sample.answeredAt : Number.NEGATIVE_INFINITY;
    }

    /** The store's clock shows at most this, also where this VM was suspended since. */
    get latestMs(): number {
        return this.sample ? this.sample.storeMs + maxElapsedMs(this.sample.askedAt) : Number.POSITIVE_INFINITY;
    }
}

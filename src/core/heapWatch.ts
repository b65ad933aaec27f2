import { EventId } from "../types/eventId";
import { emit } from "../utils/events";
import type { MemoryReading } from "../utils/memoryGauge";

/** Share of its limit from which the heap is near it. */
const nearShare = 0.85;
/** Minimum interval between two log lines. */
const logIntervalMs = 5_000;

/** Logs that the heap is near the limit at which the runtime ends the process. */
export class HeapWatch {
    private loggedAt = Number.NEGATIVE_INFINITY;

    private constructor(private readonly read: () => MemoryReading, private readonly describeUse: () => Readonly<Record<string, unknown>>) {}

    /** Creates a watch; `describeUse` says what fills the process. */
    static create(read: () => MemoryReading, describeUse: () => Readonly<Record<string, unknown>>): HeapWatch {
        return new HeapWatch(read, describeUse);
    }

    /** Checks the heap; cheap enough for each request. */
    check(): void {
        const { rss, heapUsed, heapLimit } = this.read();
        const now = performance.now();
        if (heapUsed >= nearShare * heapLimit && now - this.loggedAt >= logIntervalMs) {
            this.loggedAt = now;
            emit(EventId.HeapNearLimit, { heapUsedBytes: heapUsed, heapLimitBytes: heapLimit, residentBytes: rss, ...this.describeUse() });
        }
    }
}

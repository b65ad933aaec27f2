import { getHeapStatistics } from "node:v8";
import { EventId } from "../types/eventId";
import { emit } from "./events";
import { errorCodeOf } from "./transport";

/** Time for which a reading is used again: each costs system calls. */
const maxAgeMs = 25;

/** Part of the runtime's limit that its young generation takes: three spaces of 16 MB. */
const youngBytes = 48 * 1_048_576;

/** Memory of a process, in bytes. */
export interface MemoryReading {
    /** Memory that the process occupies; 0 if the system does not tell. */
    readonly rss: number;
    /** Memory of the JavaScript heap, without buffers. */
    readonly heapTotal: number;
    /** Part of the heap that is in use, with what has not been collected yet. */
    readonly heapUsed: number;
    /** Size at which the runtime ends the process, for what survives in the heap. */
    readonly heapLimit: number;
}

/** Reads the memory of this process. */
export class MemoryGauge {
    private latest: MemoryReading | undefined;
    private readAt = 0;
    private hasFailed = false;

    private constructor() {}

    static create(): MemoryGauge {
        return new MemoryGauge();
    }

    /** The memory that the process occupies now, or did a moment ago. */
    read(): MemoryReading {
        const now = performance.now();
        if (!this.latest || now - this.readAt > maxAgeMs) {
            const heap = getHeapStatistics();
            this.latest = {
                rss: this.readResidentSize(),
                heapTotal: heap.total_heap_size,
                heapUsed: heap.used_heap_size,
                heapLimit: Math.max(heap.heap_size_limit - youngBytes, heap.heap_size_limit / 2),
            };
            this.readAt = now;
        }
        return this.latest;
    }

    private readResidentSize(): number {
        if (this.hasFailed) {
            return 0;
        }
        try {
            return process.memoryUsage.rss();
        }
        catch (err) {
            this.hasFailed = true;
            emit(EventId.ResidentSizeUnknown, { detail: errorCodeOf(err) });
            return 0;
        }
    }
}

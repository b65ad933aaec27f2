/** Time for which a reading is used again. */
const maxAgeMs = 25;

/** Reads the memory of this process, at most once in a while: each reading costs system calls. */
export class MemoryGauge {
    private latest = process.memoryUsage();
    private readAt = performance.now();

    private constructor() {}

    static create(): MemoryGauge {
        return new MemoryGauge();
    }

    read(): NodeJS.MemoryUsage {
        if (performance.now() - this.readAt > maxAgeMs) {
            this.latest = process.memoryUsage();
            this.readAt = performance.now();
        }
        return this.latest;
    }
}

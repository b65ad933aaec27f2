/** Length of one interval of measurement. */
const intervalMs = 2_000;
/** Time in which the whole limit is assumed to be released while nothing has been measured. */
const assumedHoldMs = 2_000;

/** How fast memory is released, over the present interval and the one before it. */
export class ReleaseRate {
    private beganAt: number;
    private bytes = 0;
    private previousBytes = 0;
    private previousMs = 0;

    private constructor(private readonly limitBytes: () => number, private readonly now: () => number) {
        this.beganAt = now();
    }

    static create(limitBytes: () => number, now: () => number): ReleaseRate {
        return new ReleaseRate(limitBytes, now);
    }

    /** Counts bytes that were released. */
    count(bytes: number): void {
        this.advance();
        this.bytes += bytes;
    }

    /** Bytes a millisecond. What is assumed counts for one interval, so that a short pause does not appear as a standstill. */
    get bytesPerMs(): number {
        this.advance();
        const measuredMs = this.now() - this.beganAt + this.previousMs;
        const assumedBytes = this.limitBytes() * intervalMs / assumedHoldMs;
        return (this.bytes + this.previousBytes + assumedBytes) / (measuredMs + intervalMs);
    }

    private advance(): void {
        const elapsedMs = this.now() - this.beganAt;
        if (elapsedMs >= intervalMs) {
            const isRecent = elapsedMs < 2 * intervalMs;
            this.previousBytes = isRecent ? this.bytes : 0;
            this.previousMs = isRecent ? elapsedMs : 0;
            this.bytes = 0;
            this.beganAt = this.now();
        }
    }
}

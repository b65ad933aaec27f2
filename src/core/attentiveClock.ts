/** A gap between two ticks counts for this long at most; ticks come at least this often in a process that is neither suspended nor short of processor time. */
const maxCountedGapMs = 150;

/** A clock that does not count the time in which this process was late to read what had arrived: its own lateness is nobody's silence. */
export class AttentiveClock {
    private countedMs = 0;
    private tickedAt = performance.now();

    private constructor() {}

    /** Creates a clock that starts at 0. */
    static create(): AttentiveClock {
        return new AttentiveClock();
    }

    get nowMs(): number {
        return this.countedMs + Math.min(maxCountedGapMs, performance.now() - this.tickedAt);
    }

    /** Records that all that had arrived was read. */
    tick(): void {
        this.countedMs = this.nowMs;
        this.tickedAt = performance.now();
    }
}

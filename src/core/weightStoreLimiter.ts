/** Keeps the loads from the weight store under its rate, over all runners. */
export class WeightStoreLimiter {
    private starts: number[] = [];

    private constructor(private readonly windowMs: number, private readonly now: () => number) {}

    /** Makes a ceiling over a sliding window. */
    static create(windowMs: number, now: () => number = () => performance.now()): WeightStoreLimiter {
        return new WeightStoreLimiter(windowMs, now);
    }

    /** Whether one more load may begin now at a rate. */
    mayStartLoad(loadsPerS: number): boolean {
        const oldest = this.now() - this.windowMs;
        this.starts = this.starts.filter(at => at > oldest);
        return this.starts.length + 1 <= Math.max(1, Math.floor(loadsPerS * this.windowMs / 1_000));
    }

    /** Counts a load that begins now, or began some time ago. */
    count(ageMs = 0): void {
        this.starts.push(this.now() - ageMs);
    }
}

/** Limits the rate of loads from the weight store, over all runners, in a sliding window. */
export class WeightStoreLimiter {
    private starts: number[] = [];

    private constructor(private readonly windowMs: number, private readonly now: () => number) {}

    static create(windowMs: number, now: () => number = () => performance.now()): WeightStoreLimiter {
        return new WeightStoreLimiter(windowMs, now);
    }

    /** Whether one more load may start now under the given rate; the window always admits at least one. */
    mayStartLoad(loadsPerS: number): boolean {
        return this.delayMs(loadsPerS) === 0;
    }

    /** Time until one more load may start under the given rate. */
    delayMs(loadsPerS: number): number {
        const windowStart = this.now() - this.windowMs;
        this.starts = this.starts.filter(startedAt => startedAt > windowStart);
        const excess = this.starts.length + 1 - Math.max(1, Math.floor(loadsPerS * this.windowMs / 1_000));
        const lastToExpire = [...this.starts].sort((a, b) => a - b)[excess - 1];
        return lastToExpire === undefined ? 0 : lastToExpire - windowStart;
    }

    /** Counts a load that starts now, or started `ageMs` ago. */
    count(ageMs = 0): void {
        this.starts.push(this.now() - ageMs);
    }
}

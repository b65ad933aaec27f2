/** Time before the exit at which bodies that are not whole are refused: for the answer, and for the rest that their callers still send. */
const reserveMs = 2_500;
/** Time for a body that begins later. */
const lateBodyMs = 250;

/** Tells requests whose bodies are awaited when it is too late for them: the process exits before they could be answered. */
export class BodyCutoff {
    private readonly waiting = new Set<() => void>();
    private isReached = false;

    private constructor() {}

    static create(): BodyCutoff {
        return new BodyCutoff();
    }

    /** Sets when the process exits at the latest, on the monotonic clock. */
    setExit(exitDeadlineAt: number): void {
        setTimeout(() => this.reach(), Math.max(0, exitDeadlineAt - reserveMs - performance.now())).unref();
    }

    /** Calls `onReached` once unless the returned function was called before. */
    watch(onReached: () => void): () => void {
        if (this.isReached) {
            const timer = setTimeout(onReached, lateBodyMs);
            return () => clearTimeout(timer);
        }
        this.waiting.add(onReached);
        return () => this.waiting.delete(onReached);
    }

    private reach(): void {
        this.isReached = true;
        const waiting = [...this.waiting];
        this.waiting.clear();
        waiting.forEach(onReached => onReached());
    }
}

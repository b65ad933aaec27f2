/** Parts whose last answer is remembered; beyond this, the longest unused are forgotten. */
const maxParts = 8_192;

/** When requests with a prompt part were last answered by a runner that did not crash on them. */
export class AnsweredParts {
    private readonly answeredAt = new Map<string, number>();

    private constructor() {}

    static create(): AnsweredParts {
        return new AnsweredParts();
    }

    /** Records parts of a request whose answer began at a time. */
    record(parts: readonly string[], beganAt: number): void {
        for (const part of parts) {
            const latest = Math.max(beganAt, this.lastAt(part));
            this.answeredAt.delete(part);
            this.answeredAt.set(part, latest);
        }
        for (const part of this.answeredAt.keys()) {
            if (this.answeredAt.size <= maxParts) {
                break;
            }
            this.answeredAt.delete(part);
        }
    }

    lastAt(part: string): number {
        return this.answeredAt.get(part) ?? Number.NEGATIVE_INFINITY;
    }
}

/** Part of the time allowed for taking a change that may pass before this node reads the store itself. */
const freshShare = 0.75;

/**
 * Spares reading the store: the controller reads it and tells all nodes of changes, and how long ago the store confirmed
 * what it knows. A node reads for itself once that is too long ago, and while it is the controller.
 */
export class StoreFreshness {
    private readonly confirmedAt = new Map<string, number>();
    private toldAt = Number.NEGATIVE_INFINITY;

    private constructor(private readonly isSource: () => boolean, private readonly limitMs: () => number, private readonly now: () => number) {}

    /** Makes a record without confirmations; `limitMs` tells the time within which changes must be known. */
    static create(isSource: () => boolean, limitMs: () => number, now: () => number = () => performance.now()): StoreFreshness {
        return new StoreFreshness(isSource, limitMs, now);
    }

    /** Notes that this node follows a table, which the store has not confirmed yet. */
    follow(table: string): void {
        this.confirmedAt.set(table, Number.NEGATIVE_INFINITY);
    }

    /** Notes that the store answered what has changed in a table. */
    onConfirmed(table: string): void {
        this.confirmedAt.set(table, this.now());
    }

    /** Time since the store confirmed all tables that this node follows, undefined before it has confirmed each. */
    get confirmedAgoMs(): number | undefined {
        const oldest = this.confirmedAt.size === 0 ? Number.NEGATIVE_INFINITY : Math.min(...this.confirmedAt.values());
        return Number.isFinite(oldest) ? this.now() - oldest : undefined;
    }

    /** Takes what the controller told in answer to a question. */
    onControllerConfirmed(confirmedAgoMs: number, askedAt: number): void {
        this.toldAt = Math.max(this.toldAt, askedAt - confirmedAgoMs);
    }

    /** Whether this node need not read the store now. */
    get isFresh(): boolean {
        return !this.isSource() && this.now() - this.toldAt < freshShare * this.limitMs();
    }
}

/** Part of the time allowed for taking a change that may pass before this node reads the store itself. */
const coverShare = 0.75;

/**
 * Spares reading the store: the controller reads it and tells all nodes of changes, and how long ago the store confirmed
 * what it knows. A node reads for itself once that is too long ago, and while it is the controller.
 */
export class StoreCover {
    private readonly confirmedAt = new Map<string, number>();
    private toldAt = Number.NEGATIVE_INFINITY;

    private constructor(private readonly isSource: () => boolean, private readonly limitMs: () => number, private readonly now: () => number) {}

    /** Makes a cover; `limitMs` tells the time within which changes must be known. */
    static create(isSource: () => boolean, limitMs: () => number, now: () => number = () => performance.now()): StoreCover {
        return new StoreCover(isSource, limitMs, now);
    }

    /** Notes that the store answered what has changed in a table. */
    onConfirmed(table: string): void {
        this.confirmedAt.set(table, this.now());
    }

    /** Time since the store confirmed all tables that this node follows. */
    get confirmedAgoMs(): number {
        return this.now() - Math.min(...this.confirmedAt.values());
    }

    /** Takes what the controller told in answer to a question. */
    onTold(confirmedAgoMs: number, askedAt: number): void {
        this.toldAt = Math.max(this.toldAt, askedAt - confirmedAgoMs);
    }

    /** Whether this node need not read the store now. */
    get isCovered(): boolean {
        return !this.isSource() && this.now() - this.toldAt < coverShare * this.limitMs();
    }
}

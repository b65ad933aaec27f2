/** A place that is returned before it is given, as messages overtake each other, is not given within this time. */
const lifetimeMs = 2_000;

/** Places that were returned before they were given. */
export class OvertakenReturns {
    private readonly until = new Map<string, number>();

    private constructor() {}

    static create(): OvertakenReturns {
        return new OvertakenReturns();
    }

    get size(): number {
        return this.until.size;
    }

    add(id: string): void {
        this.until.set(id, performance.now() + lifetimeMs);
    }

    /** Whether a place was returned already, so that it must not be given. */
    has(id: string): boolean {
        return (this.until.get(id) ?? 0) > performance.now();
    }

    removeExpired(now: number): void {
        this.until.forEach((until, id) => until <= now && this.until.delete(id));
    }
}

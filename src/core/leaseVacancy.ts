/** Tracks since when a lease has been vacant, and when this node may take it: better suited candidates come first. */
export class LeaseVacancy {
    /** Since when the lease has been seen to be vacant, on the monotonic clock. */
    private since: number | undefined;

    private constructor(private readonly takeoverDelayMs: () => number) {}

    /** `takeoverDelayMs`: how long this node leaves a vacant lease to other candidates. */
    static create(takeoverDelayMs: () => number): LeaseVacancy {
        return new LeaseVacancy(takeoverDelayMs);
    }

    /** Records whether the lease is vacant now. */
    update(isVacant: boolean): void {
        this.since = isVacant ? this.since ?? performance.now() : undefined;
    }

    /** Time until this node may take the lease; undefined if it is not vacant. */
    get takeoverInMs(): number | undefined {
        return this.since === undefined ? undefined : Math.max(0, this.since + this.takeoverDelayMs() - performance.now());
    }
}

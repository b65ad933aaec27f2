/** Rows that expired during an outage of the store, or that it lost in a restore, may reappear for this long after it has recovered. */
export const recoveryGraceMs = 2_000;
/** Failures that span less time are lost connections: no upstream misses enough heartbeats in that time for its row to expire. */
const minOutageMs = 500;

/** Tells outages of the store from single lost connections, by the results of all calls of this node. */
export class StoreAvailability {
    /** First failed call since the last answer. */
    private failingSince: number | undefined;
    private lastFailureAt = Number.NEGATIVE_INFINITY;
    private recoveredAt = Number.NEGATIVE_INFINITY;

    private constructor() {}

    /** Creates the availability of a store that has not been called. */
    static create(): StoreAvailability {
        return new StoreAvailability();
    }

    /** Records that the store answered a call. */
    onAnswer(): void {
        if (this.failingSince !== undefined && this.lastFailureAt - this.failingSince >= minOutageMs) {
            this.recoveredAt = performance.now();
        }
        this.failingSince = undefined;
    }

    /** Records that a call failed or was refused. */
    onFailure(): void {
        this.lastFailureAt = performance.now();
        this.failingSince ??= this.lastFailureAt;
    }

    /** Time for which missing rows may still reappear. */
    get graceMs(): number {
        return Math.max(0, this.recoveredAt + recoveryGraceMs - performance.now());
    }
}

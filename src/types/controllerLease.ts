/** A holder's right to order one runner about: its last order arrives before this time of the store's clock. */
export interface RunnerLease {
    readonly holder: string;
    readonly untilMs: number;
}

/** Lease row of the one node that controls the runners. Times are those of the store's clock. */
export interface ControllerRow {
    /** VM of the holder: a restart on the same VM is the same holder. */
    readonly holder: string;
    /** Differs at each start of the holder's process. */
    readonly boot: string;
    /** Where peers reach the holder. */
    readonly peerAddress: string;
    /** Whether the holder has given the lease up. */
    readonly isReleased: boolean;
    /** When the lease lapses unless it is renewed. */
    readonly untilMs: number;
    /** Newest turn at each runner that was ordered about a short time ago, by any holder. */
    readonly turns: Readonly<Record<string, RunnerLease>>;
    /** Starts of the last loads from the weight store, by any holder. */
    readonly storeLoads: readonly number[];
}

/** A holder's statement that it sends no more orders under one version of the row. */
export interface LeaseYield {
    readonly version: number;
}

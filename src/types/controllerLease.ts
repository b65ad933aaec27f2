/** Lease row of the one node that controls the runners. */
export interface ControllerRow {
    /** VM of the holder: a restart on the same VM is the same holder. */
    readonly holder: string;
    /** Differs at each start of the holder's process. */
    readonly boot: string;
    /** Where peers reach the holder. */
    readonly peerAddress: string;
    /** Whether the holder has given the lease up. */
    readonly isReleased: boolean;
    /** Age of the holder's last order when it gave the lease up. */
    readonly lastOrderAgoMs?: number;
}

/** A holder's statement that it sends no more orders under one version of the row. */
export interface LeaseYield {
    readonly version: number;
    readonly lastOrderAgoMs: number;
}

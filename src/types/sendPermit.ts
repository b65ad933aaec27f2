/** Request for the permission to send one request to a runner that has named a limit. */
export interface PermitRequest {
    /** Identifies the runner's process. */
    readonly runner: string;
    readonly perSecond: number;
    /** A later turn than this is of no use. */
    readonly maxWaitMs: number;
}

/** The next turn at a runner that has named a limit. */
export interface Permit {
    /** Whether the turn was given to the request; otherwise it would be too late for it. */
    readonly isGranted: boolean;
    readonly waitMs: number;
}

/** What a node says of its caller's request when it passes it on to a peer. */
export interface RelayedRequest {
    /** The node that read the request. */
    readonly node: string;
    /** Time since the request arrived there, and until the answer is due. */
    readonly elapsedMs: number;
    readonly remainingMs: number;
    readonly configVersion: number;
    /** Service that was chosen among the targets of the route. */
    readonly service: string;
    /** Runs that are allowed. */
    readonly maxRuns: number;
    /** Software version that began the stream; undefined before it began. */
    readonly streamVersion?: string;
    /** Software version at which a node may have recorded the stream; missing from nodes of earlier releases. */
    readonly recordedVersion?: string;
    /** SHA-256 of the caller's key, in hexadecimal; missing from nodes of earlier releases and without a key. It must not be logged. */
    readonly keyDigest?: string;
    /** Whether its usage was charged to its customer; missing from nodes of earlier releases, and where the customer has no limit. */
    readonly isUsageCharged?: boolean;
}

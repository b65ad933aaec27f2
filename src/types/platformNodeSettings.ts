/** Settings of a node that runs on the platform. Addresses are IP:PORT. */
export interface PlatformNodeSettings {
    /** Names the VM; a VM that replaces it has another. */
    readonly nodeId: string;
    readonly ip: string;
    readonly availabilityZone: string;
    readonly callerAddress: string;
    readonly readyAddress: string;
    readonly peerAddress: string;
    readonly metricsAddress: string;
    readonly storeAddress: string;
    /** Peer addresses to begin with; they may be stale. */
    readonly seeds: readonly string[];
    /** Interval at which upstreams write to the directory. */
    readonly heartbeatMs: number;
    /** Time after which a leaving upstream must get no new requests. */
    readonly drainMs: number;
    /** Time within which a configuration must be in force. */
    readonly applyMs: number;
    /** Time between SIGTERM and SIGKILL. */
    readonly graceMs: number;
    /** Repeats that all nodes together may send to a service: a share of its requests in a window, and a fixed number. */
    readonly retryRatio: number;
    readonly retryWindowMs: number;
    readonly retrySlack: number;
    /** Least time between the orders of two holders. */
    readonly turnGapMs: number;
    /** Window over which loads from the weight store are counted. */
    readonly loadWindowMs: number;
}

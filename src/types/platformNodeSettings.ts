import type { TransportLimits } from "./transportLimits";

/** Settings of a node that runs on the platform. Addresses are IP:PORT. */
export interface PlatformNodeSettings {
    /** Identifies the VM; a VM that replaces it has another ID. */
    readonly nodeId: string;
    readonly ip: string;
    readonly availabilityZone: string;
    readonly callerAddress: string;
    readonly readyAddress: string;
    readonly peerAddress: string;
    readonly metricsAddress: string;
    readonly storeAddress: string;
    /** Initial peer addresses; they may be stale. */
    readonly seeds: readonly string[];
    /** Processor capacity of the VM, in cores. */
    readonly cores: number;
    /** Memory and descriptors of the process; the platform ends a process that takes more memory. */
    readonly memoryBytes: number;
    readonly maxDescriptors: number;
    /** Interval at which upstreams write their heartbeat to the directory. */
    readonly heartbeatMs: number;
    /** Time after which a leaving upstream must get no new requests. */
    readonly drainMs: number;
    /** Time within which a configuration must be in effect. */
    readonly applyMs: number;
    /** Whether the keys of a request must be confirmed: none is accepted that may have been withdrawn longer than `revokeMs` ago. */
    readonly isRevocationStrict: boolean;
    readonly revokeMs: number;
    /** Window over which a customer's use is judged, and what is tolerated beyond its limit: a share of it, and a number of units. */
    readonly usageWindowMs: number;
    readonly usageOverrun: number;
    readonly usageSlack: number;
    /** Whether runners fail if the requests that they hold exceed their memory, so that nodes admit requests by it. */
    readonly hasRunnerPressure: boolean;
    /** Time between SIGTERM and SIGKILL. */
    readonly graceMs: number;
    /** Retries that all nodes together may send to a service: a share of its requests in a window, plus a fixed number. */
    readonly retryRatio: number;
    readonly retryWindowMs: number;
    readonly retrySlack: number;
    /** Minimum time between the orders of two holders to one runner. */
    readonly turnGapMs: number;
    readonly limits: TransportLimits;
    /** Time of a caller that the transfer of one MB to another zone may cost. If it is missing, the default holds for services whose upstreams report a pace. */
    readonly crossZoneMsPerMb?: number;
    /** Window over which model loads from the weight store are counted. */
    readonly loadWindowMs: number;
}

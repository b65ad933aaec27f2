import type { LeaseYield } from "./controllerLease";
import type { DirectoryChange } from "./upstreamServer";

/** What a node asks of the controller. */
export interface PlacementRequest {
    readonly service: string;
    readonly model: string;
    readonly adapter?: string;
    /** Runners that the request met already. */
    readonly avoid: readonly string[];
}

/** Where and when a model or adapter can be used; without a runner, when to ask again. */
export interface PlacementAnswer {
    readonly runner?: string;
    readonly readyInMs: number;
    /** Whether the controller is at work on it. */
    readonly isComing: boolean;
    /** Whether no controller could be asked. */
    readonly isUncertain?: boolean;
}

/** Prefill that waits at runners, in milliseconds, and requests in progress there. */
export type RunnerLoads = Readonly<Record<string, readonly [number, number]>>;

/** What a node tells the controller. */
export interface NodeReport {
    readonly node: string;
    readonly peerAddress: string;
    readonly configVersion: number;
    readonly directoryVersion: number;
    /** Work asked for since the last report, by model, in milliseconds of a runner's time. */
    readonly work: Readonly<Record<string, number>>;
    readonly loads: RunnerLoads;
}

/** What the controller, or another peer, answers. */
export interface PeerAnswer {
    /** Peer addresses of the nodes that are known. */
    readonly peers: readonly string[];
    readonly configVersion: number;
    /** The configuration as it was published, base64, where the asker's is older. */
    readonly config?: string;
    readonly directoryVersion: number;
    /** Whether the peer is the controller. */
    readonly isController: boolean;
    /** Version of the controller's lease row. */
    readonly leaseVersion?: number;
    /** From a peer that was the controller and could not renew its lease. */
    readonly yielding?: LeaseYield;
    /** Changes of the directory that the asker lacks. */
    readonly changes: readonly DirectoryChange[];
    /** Adapters by runner, from the controller only. */
    readonly adapters?: Readonly<Record<string, readonly string[]>>;
    /** Load that other nodes put on runners, from the controller only. */
    readonly loads?: RunnerLoads;
}

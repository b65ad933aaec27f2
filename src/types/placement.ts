import type { LeaseYield } from "./controllerLease";
import type { DirectoryChange } from "./upstreamServer";

/** What a node asks of the controller. */
export interface PlacementRequest {
    readonly service: string;
    readonly model: string;
    readonly adapter?: string;
    /** Runners that the request met already. */
    readonly avoid: readonly string[];
    /** Runners that could not be reached from the asking node. */
    readonly unreachable: readonly string[];
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

/** Work that callers asked of a model's or adapter's runners. */
export interface RequestedWork {
    readonly artifact: string;
    /** Milliseconds of a runner's time. */
    readonly workMs: number;
    /** Time since the last request. */
    readonly idleMs: number;
}

/** Prefill that waits at runners, in milliseconds, and requests in progress there. */
export type RunnerLoads = Readonly<Record<string, readonly [number, number]>>;

/** Adapters by runner, as far as they changed after an earlier revision. */
export interface AdapterChanges {
    readonly revision: number;
    readonly byRunner: Readonly<Record<string, readonly string[]>>;
}

/** What a node tells the controller. */
export interface NodeReport {
    readonly node: string;
    readonly peerAddress: string;
    readonly configVersion: number;
    readonly directoryVersion: number;
    /** Up to which revision of which controller the adapters at runners are known. */
    readonly adaptersEpoch?: number;
    readonly adaptersRevision: number;
    /** What was asked for since the last report, or all that a new controller must know. */
    readonly work: readonly RequestedWork[];
    readonly loads: RunnerLoads;
}

/** What a new controller tells the nodes that it knows of. */
export interface ControllerAnnouncement {
    readonly peerAddress: string;
    readonly epoch: number;
}

/** What the controller, or another peer, answers. */
export interface PeerAnswer {
    /** Peer addresses of the nodes that are known. */
    readonly peers: readonly string[];
    readonly configVersion: number;
    /** The configuration as it was published, base64, where the asker's is older. */
    readonly config?: string;
    readonly directoryVersion: number;
    /** Epoch of the peer's lease where it is the controller. */
    readonly epoch?: number;
    /** The newest controller that the peer knows to have announced itself. */
    readonly announced?: ControllerAnnouncement;
    /** Age of what the controller knows of configuration and directory, as the store confirmed it; from the controller only. */
    readonly confirmedAgoMs?: number;
    /** From a peer that was the controller and could not renew its lease. */
    readonly yielding?: LeaseYield;
    /** Changes of the directory that the asker lacks. */
    readonly changes: readonly DirectoryChange[];
    /** Adapters that requests may use, of the runners where they changed; from the controller only. */
    readonly adapters?: AdapterChanges;
    /** Load that other nodes put on runners, from the controller only. */
    readonly loads?: RunnerLoads;
}

import type { LeaseYield } from "./controllerLease";
import type { PeerNode } from "./peerNode";
import type { FactAnswer, FactReport } from "./sharedFacts";
import type { StoreVersion } from "./storeVersion";
import type { DirectoryChange } from "./upstreamServer";
import type { VersionConstraint } from "./versionConstraint";

/** A node's request to the controller for a runner that can serve a model or adapter. */
export interface PlacementRequest {
    readonly service: string;
    readonly model: string;
    readonly adapter?: string;
    /** Missing from nodes of earlier releases, which list the runners of other versions in `avoid`. */
    readonly versions?: VersionConstraint;
    /** Runners that the request has tried already. */
    readonly avoid: readonly string[];
    /** Runners that the requesting node could not reach. */
    readonly unreachable: readonly string[];
}

/** The runner at which a model or adapter can be used and the time until then; without a runner, the time after which to request again. */
export interface PlacementAnswer {
    readonly runner?: string;
    readonly readyInMs: number;
    /** Whether the model or adapter is available, is being loaded or will be. */
    readonly isComing: boolean;
    /** Whether the model is expected at the runner by then, rather than known to be there; missing from nodes of earlier releases. */
    readonly isExpected?: boolean;
    /** Whether no active controller gave the answer. */
    readonly isUncertain?: boolean;
}

/** Work that callers' requests cause at the runners of a model or adapter. */
export interface RequestedWork {
    readonly artifact: string;
    /** Milliseconds of a runner's time. */
    readonly workMs: number;
    /** Time since the last request. */
    readonly idleMs: number;
}

/** By runner: queued prefill in milliseconds, and requests in flight. */
export type RunnerLoads = Readonly<Record<string, readonly [number, number]>>;

/** Adapters of the runners where they changed after an earlier revision. */
export interface AdapterChanges {
    readonly revision: number;
    readonly byRunner: Readonly<Record<string, readonly string[]>>;
}

/** A node's periodic report to the controller, or to another peer. */
export interface NodeReport {
    readonly node: string;
    readonly peerAddress: string;
    readonly zone: string;
    /** Processor capacity of the node's VM, in cores. */
    readonly cores: number;
    /** Whether the node reaches upstreams over its own links; missing from nodes of earlier releases. */
    readonly reachesUpstreams?: boolean;
    /** Nodes that this one reports for, as their relay; their work and loads are part of its own. */
    readonly members: readonly PeerNode[];
    /** Version of the list of peers that the node knows, from `source`. */
    readonly peersVersion: number;
    readonly configVersion: number;
    readonly directoryVersion: StoreVersion;
    /** Process that sent the revision of the adapters and the version of the list of peers that the node knows. */
    readonly source?: string;
    /** Epoch of the controller, and its revision, up to which the adapters at runners are known. */
    readonly adaptersEpoch?: number;
    readonly adaptersRevision: number;
    /** Work requested since the last report, or the whole demand for a new controller. */
    readonly work: readonly RequestedWork[];
    readonly loads: RunnerLoads;
    /** Missing from nodes of earlier releases, as in answers. */
    readonly facts?: FactReport;
}

/** Sent by a new controller to its known peers. */
export interface ControllerAnnouncement {
    readonly peerAddress: string;
    readonly epoch: number;
}

/** Answer of the controller, or of another peer, to a node's report. */
export interface PeerAnswer {
    /** All known nodes, if the reporting node has an older list; from the controller or a relay only. */
    readonly peers?: readonly PeerNode[];
    readonly peersVersion: number;
    /** Identifies the process whose versions these are; from the controller or a relay only. */
    readonly source?: string;
    readonly nodeCount: number;
    readonly configVersion: number;
    /** The published configuration in base64, if the reporting node's is older. */
    readonly config?: string;
    readonly directoryVersion: StoreVersion;
    /** Epoch of the controller: the peer itself, or the one that answered it lately. */
    readonly epoch?: number;
    /** Time since the controller answered the peer; 0 from the controller itself. */
    readonly controllerAgoMs?: number;
    /** The newest announcement of a controller that the peer has made or received. */
    readonly announced?: ControllerAnnouncement;
    /** Time since the store confirmed the configuration and directory that the peer knows. */
    readonly confirmedAgoMs?: number;
    /** Time since the peer's configuration was known to be the newest; missing from nodes of earlier releases and before the first confirmation. */
    readonly configAgeMs?: number;
    /** From a peer that was the controller and could not renew its lease in time. */
    readonly yielding?: LeaseYield;
    /** Directory changes after the version that the node reported, or the whole directory. */
    readonly changes: readonly DirectoryChange[];
    /** Whether upstreams that are missing from the changes have been removed. */
    readonly isWholeDirectory?: boolean;
    /** Adapters that requests may use, for runners where they changed; from the controller or a relay only. */
    readonly adapters?: AdapterChanges;
    /** Load that other nodes cause at runners; from the controller or a relay only. */
    readonly loads?: RunnerLoads;
    readonly facts?: FactAnswer;
}

import type { EngineReport } from "./report";

/** Names of the parts of a digest; a node tells them of itself, a zone of its runners. */
export enum DigestName {
    /** A node's state. */
    Node = "node",
    /** A zone's state. */
    Zone = "zone",
    /** Reports of engines, told anew when what they hold changes. */
    Reports = "reports",
    /** Load of engines. */
    Load = "load",
    /** Requests a second by artifact. */
    Demand = "demand",
}

/** What must get no new requests. */
export interface Exclusions {
    /** Copies, as `runner artifact`. */
    readonly drains: readonly string[];
    /** Upstreams that were seen leaving. */
    readonly leaving: readonly string[];
}

/** State of a node. */
export interface NodeState extends Exclusions {
    readonly id: string;
    /** Differs at each start of the process. */
    readonly incarnation: string;
    readonly availabilityZone: string;
    readonly url: string;
    readonly stopping: boolean;
    readonly configSequence: number;
}

/** State of a zone, as one of its nodes sums it up for other zones. */
export interface ZoneState extends Exclusions {
    readonly availabilityZone: string;
    /** URL of the node that summed up. */
    readonly url: string;
    readonly nodes: number;
    /** Least sequence of the configuration in force on a node of the zone. */
    readonly configSequence: number;
}

/** Reports by runner. */
export type DigestReports = Readonly<Record<string, EngineReport>>;
/** Requests in progress and queued, by runner. */
export type DigestLoad = Readonly<Record<string, readonly [number, number]>>;
/** Requests a second by artifact. */
export type DigestDemand = Readonly<Record<string, number>>;

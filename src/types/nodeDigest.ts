import type { EngineReport } from "./report";

/** Names of digest parts; nodes publish them about themselves, zones about their runners. */
export enum DigestName {
    /** A node's state. */
    Node = "node",
    /** A zone's state. */
    Zone = "zone",
    /** Reports of engines, republished when what the engines hold changes. */
    Reports = "reports",
    /** Load of engines. */
    Load = "load",
    /** Requests per second by artifact. */
    Demand = "demand",
}

/** Copies and upstreams that must get no new requests. */
export interface Exclusions {
    /** Copies, as `runner artifact`. */
    readonly drains: readonly string[];
    /** Upstreams that reported themselves as leaving. */
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

/** State of a zone, as one of its nodes summarises it for other zones. */
export interface ZoneState extends Exclusions {
    readonly availabilityZone: string;
    /** URL of the node that published the state. */
    readonly url: string;
    readonly nodes: number;
    /** Lowest sequence number of the configurations in effect on the zone's nodes. */
    readonly configSequence: number;
}

/** Reports by runner. */
export type DigestReports = Readonly<Record<string, EngineReport>>;
/** Requests in progress and queued, by runner. */
export type DigestLoad = Readonly<Record<string, readonly [number, number]>>;
/** Requests per second by artifact. */
export type DigestDemand = Readonly<Record<string, number>>;

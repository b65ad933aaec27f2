import type { EngineReport } from "./report";

/** The seldom-changing part of a node's digest. */
export interface NodeState {
    readonly id: string;
    /** Differs at each start of the process. */
    readonly incarnation: string;
    readonly availabilityZone: string;
    readonly url: string;
    readonly stopping: boolean;
    readonly configSequence: number;
    /** Artifacts that must get no new requests, as `runner artifact`. */
    readonly drains: readonly string[];
    /** Upstreams that this node saw leaving. */
    readonly leaving: readonly string[];
}

/** The often-changing part: engine reports that this node collected, and the demand that it saw. */
export interface NodeLoad {
    readonly reports: Readonly<Record<string, EngineReport>>;
    /** Requests a second by model and adapter, a moving average. */
    readonly demand: Readonly<Record<string, number>>;
}

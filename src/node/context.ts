import type { AdmissionQueue } from "../core/admissionQueue";
import type { ConcurrencyLimiter } from "../core/concurrencyLimiter";
import type { ConfigStore } from "../core/configStore";
import type { DigestStore } from "../core/digestStore";
import type { Fleet } from "../core/fleet";
import type { PrefixHints } from "../core/prefixHints";
import type { RequestRateMeter } from "../core/requestRateMeter";
import type { RetryBudget } from "../core/retryBudget";
import type { EngineLookup } from "../types/engine";
import type { ObjectStore } from "../types/objectStore";
import type { EngineReport } from "../types/report";
import type { Table } from "../types/table";
import type { VmList } from "../types/vm";
import type { Random } from "../utils/random";
import type { StandaloneNodeSettings } from "./standaloneNodeSettings";

/** Life of a node. */
export enum NodeStage {
    Starting = "starting",
    Ready = "ready",
    Stopping = "stopping",
    Stopped = "stopped",
}

/** What the parts of a node share. */
export interface NodeContext {
    readonly cfg: StandaloneNodeSettings;
    /** Differs at each start of the process. */
    readonly incarnation: string;
    readonly table: Table;
    readonly objects: ObjectStore;
    readonly vmList: VmList;
    readonly engines: EngineLookup;
    readonly config: ConfigStore;
    readonly digests: DigestStore;
    readonly fleet: Fleet;
    readonly demand: RequestRateMeter;
    readonly hints: PrefixHints;
    readonly queue: AdmissionQueue;
    readonly limits: Map<string, ConcurrencyLimiter>;
    readonly budgets: Map<string, RetryBudget>;
    /** Reports that this node collected itself. */
    readonly reports: Map<string, EngineReport>;
    /** Copies that this node's stewardship takes out of routing, as `runner artifact`. */
    drains: readonly string[];
    readonly random: Random;
    /** Aborts when the node stops its background work. */
    readonly signal: AbortSignal;
    stage: NodeStage;
    /** Requests in progress. */
    inProgress: number;
}

/** An optional part of a node, registered by a call. */
export interface NodePlugin {
    readonly name: string;
    start(node: NodeContext): Promise<void> | void;
    /** Hands over what the part holds, before the listener closes. */
    stop?(): Promise<void> | void;
}

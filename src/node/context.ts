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

/** Lifecycle stage of a node. */
export enum NodeStage {
    Starting = "starting",
    Ready = "ready",
    Stopping = "stopping",
    Stopped = "stopped",
}

/** State and dependencies that the components of a node share. */
export interface NodeContext {
    readonly cfg: StandaloneNodeSettings;
    /** Unique for each start of the process. */
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
    /** Reports that this node itself collected from runners. */
    readonly reports: Map<string, EngineReport>;
    /** Copies that this node's zone controller excludes from routing, written as `runner artifact`. */
    drains: readonly string[];
    readonly random: Random;
    /** Aborts when the node stops its background work. */
    readonly signal: AbortSignal;
    stage: NodeStage;
    /** Requests that have been received and not answered yet. */
    inProgress: number;
}

/** An optional component of a node, registered with `use`. */
export interface NodePlugin {
    readonly name: string;
    start(node: NodeContext): Promise<void> | void;
    /** Releases what the component holds, such as a lease, before the listener closes. */
    stop?(): Promise<void> | void;
}

import type { EngineSpec } from "../types/servingConfig";
import type { CopyNeed } from "./copyNeed";
import type { ModelDemand } from "./modelDemand";
import type { RunnerTracker } from "./runnerTracker";

/** What a copy plan is made from. */
export interface CopyPlanInputs {
    readonly engine: EngineSpec;
    readonly trackers: readonly RunnerTracker[];
    readonly demand: ModelDemand;
    /** Models that requests are waiting for. */
    readonly awaitedModels: ReadonlySet<string>;
    /** Time since the first request for each model that no runner has served since. */
    readonly awaitedMs?: ReadonlyMap<string, number>;
    /** Copies that are needed at some of the runners, such as those of one software version. */
    readonly needs: readonly CopyNeed[];
    /** Whether the rate limit admits a load from the weight store. */
    readonly mayLoadFromWeightStore: boolean;
    /** Models that will be loaded once memory has been freed for them, by runner ID. */
    readonly plannedLoads: ReadonlyMap<string, string>;
}

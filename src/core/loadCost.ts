import type { ModelSpec } from "../types/servingConfig";
import type { RunnerTracker } from "./runnerTracker";

/** Cost of a load for each second that it takes, and the additional cost if it reads from the weight store. */
const loadCostPerS = 0.03;
const weightStoreLoadCost = 0.08;

/** What the load of a model on a runner costs. */
export const loadCost = (model: ModelSpec, tracker: RunnerTracker): number =>
    loadCostPerS * tracker.loadMs(model) / 1_000 + (tracker.loadsFromWeightStore(model.name) ? weightStoreLoadCost : 0);

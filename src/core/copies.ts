import { RunnerOrderKind } from "../types/runner";
import { UpstreamState } from "../types/upstreamServer";
import type { RunnerTracker } from "./runnerTracker";

const isUnloading = (tracker: RunnerTracker, model: string): boolean =>
    tracker.transition?.kind === RunnerOrderKind.Unload && tracker.transition.model === model;

/** Whether a runner is ready, reachable and not about to be removed. */
export const isUsable = (tracker: RunnerTracker): boolean =>
    tracker.server.state === UpstreamState.Ready && tracker.server.remainingMs === undefined && tracker.isReachable;

/** Whether requests may be sent to a runner for a model. */
export const serves = (tracker: RunnerTracker, model: string): boolean => tracker.isReachable && tracker.models.has(model) && !isUnloading(tracker, model);

/** Whether a runner serves a model, or is loading it. */
export const holdsOrLoads = (tracker: RunnerTracker, model: string): boolean => serves(tracker, model) || tracker.isLoading(model);

import { RunnerOrderKind } from "../types/runner";
import { UpstreamState } from "../types/upstreamServer";
import type { RunnerBook } from "./runnerBook";

const isUnloading = (tracker: RunnerBook, model: string): boolean => tracker.transit?.kind === RunnerOrderKind.Unload && tracker.transit.model === model;

/** Whether a runner is ready, reachable and not about to be removed. */
export const isUsable = (tracker: RunnerBook): boolean =>
    tracker.server.state === UpstreamState.Ready && tracker.server.remainingMs === undefined && tracker.isReachable;

/** Whether requests may be sent to a runner for a model. */
export const serves = (tracker: RunnerBook, model: string): boolean => tracker.isReachable && tracker.models.has(model) && !isUnloading(tracker, model);

/** Whether a runner serves a model, or is loading it. */
export const holdsOrLoads = (tracker: RunnerBook, model: string): boolean => serves(tracker, model) || tracker.isLoading(model);

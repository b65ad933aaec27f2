import { RunnerOrderKind } from "../types/runner";
import { UpstreamState } from "../types/upstreamServer";
import type { RunnerTracker } from "./runnerTracker";

const isUnloading = (book: RunnerTracker, model: string): boolean => book.transition?.kind === RunnerOrderKind.Unload && book.transition.model === model;

/** Whether a runner stays, as far as is known. */
export const isUsable = (book: RunnerTracker): boolean =>
    book.server.state === UpstreamState.Ready && book.server.remainingMs === undefined && book.isReachable;

/** Whether requests may use a model at a runner. */
export const serves = (book: RunnerTracker, model: string): boolean => book.isReachable && book.models.has(model) && !isUnloading(book, model);

/** Whether a runner holds a model, or will when its order is done. */
export const holdsOrLoads = (book: RunnerTracker, model: string): boolean => serves(book, model) || book.isLoading(model);

import { RunnerOrderKind } from "../types/runner";
import { UpstreamState } from "../types/upstreamServer";
import type { RunnerBook } from "./runnerBook";

const isUnloading = (book: RunnerBook, model: string): boolean => book.transit?.kind === RunnerOrderKind.Unload && book.transit.model === model;

/** Whether a runner stays, as far as is known. */
export const isUsable = (book: RunnerBook): boolean => book.server.state === UpstreamState.Ready && book.server.remainingMs === undefined && book.isReachable;

/** Whether requests may use a model at a runner. */
export const serves = (book: RunnerBook, model: string): boolean => book.isReachable && book.models.has(model) && !isUnloading(book, model);

/** Whether a runner holds a model, or will when its order is done. */
export const holdsOrLoads = (book: RunnerBook, model: string): boolean => serves(book, model) || book.isLoading(model);

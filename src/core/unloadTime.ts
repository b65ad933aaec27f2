import type { ModelDemand } from "./modelDemand";

/** Estimated time of an unload of a model that no request uses. */
export const estimatedUnloadMs = 300;
/** Added just after a request for the model: an unload waits for its requests in flight, and streams last seconds. */
const busyUnloadMs = 3_000;
/** Time without a request after which half as many of a model's requests are in flight. */
const busyHalfLifeMs = 2_500;
/** An unload blocks the runner until the model's requests in flight have ended; this is its cost just after a request. */
const maxBusyUnloadCost = 0.4;

/** Cost of an unload for the time that it blocks the runner, by the time since the model's last request. */
export const busyUnloadCost = (idleMs: number): number => maxBusyUnloadCost * 2 ** (-idleMs / busyHalfLifeMs);

/** Estimated time to unload models one after the other. */
export const estimateUnloadMs = (models: readonly string[], demand: ModelDemand): number =>
    models.reduce((sum, model) => sum + estimatedUnloadMs + busyUnloadMs * 2 ** (-demand.idleMs(model) / busyHalfLifeMs), 0);

import type { EngineSpec, ModelSpec } from "../types/servingConfig";
import { isUsable } from "./copies";
import type { RunnerTracker } from "./runnerTracker";
import { estimatedUnloadMs } from "./unloadTime";
import { victimSets } from "./victimSets";

/** What a load has to wait for, beside the runner that it is ordered from. */
export interface LoadDelays {
    /** Until the rate limit admits one more load from the weight store. */
    readonly weightStoreMs: number;
    /** Until a runner's report that is due, or the answer to an order. */
    readonly reportMs: number;
    readonly now: number;
}

const waitMsAt = (tracker: RunnerTracker, { reportMs, now }: LoadDelays): number =>
    tracker.canOrder ? 0 : Math.max(reportMs, (tracker.transition?.doneAt ?? now) - now);

/**
 * Time until a model can be loaded at one of the runners that cannot take its order yet; undefined if there is none. A runner that could take the order at once
 * does not count: the plan did not choose it.
 */
export const earliestLoadMs = (
    model: ModelSpec,
    trackers: readonly RunnerTracker[],
    engine: EngineSpec,
    loadOf: (model: string) => number,
    delays: LoadDelays,
): number | undefined => {
    let earliestMs: number | undefined;
    for (const tracker of trackers.filter(isUsable)) {
        const waitMs = Math.max(waitMsAt(tracker, delays), tracker.loadsFromWeightStore(model.name) ? delays.weightStoreMs : 0);
        const missingMb = tracker.usedMb(engine) + model.memoryMb - engine.memoryMb;
        if (waitMs > 0 && (!tracker.hasCurrentReport || victimSets(tracker, missingMb, engine, loadOf).length > 0)) {
            const readyMs = waitMs + (missingMb > 0 ? estimatedUnloadMs : 0) + tracker.loadMs(model);
            earliestMs = Math.min(earliestMs ?? readyMs, readyMs);
        }
    }
    return earliestMs;
};

import { artifactKey } from "../types/modelRequest";
import type { EngineSpec } from "../types/servingConfig";
import { UpstreamState } from "../types/upstreamServer";
import type { RunnerTracker } from "./runnerTracker";

/** An adapter that was used less than this ago is not evicted. */
const minIdleMs = 400;

/** The runner on which an adapter is to be loaded, and the adapter to evict for it. */
export interface AdapterPlacement {
    readonly tracker: RunnerTracker;
    readonly evict?: { readonly model: string; readonly adapter: string; };
}

const splitArtifact = (artifact: string): { readonly model: string; readonly adapter: string; } => {
    const slash = artifact.indexOf("/");
    return { model: artifact.slice(0, slash), adapter: artifact.slice(slash + 1) };
};

const leastRecentlyUsed = (tracker: RunnerTracker): readonly [string, number] | undefined =>
    [...tracker.adapters].filter(([artifact]) => !tracker.unloadingAdapters.has(artifact)).sort(([, a], [, b]) => a - b)[0];

/** Chooses a runner that holds the model for an adapter: the least loaded one, where an eviction of the least recently used adapter counts as additional load. */
export const chooseAdapterPlacement = (
    trackers: readonly RunnerTracker[],
    engine: EngineSpec,
    model: string,
    adapter: string,
    loadOf: (runner: string) => number,
    now = performance.now(),
): AdapterPlacement | undefined => {
    const sizeMb = engine.models.get(model)?.adapterMemoryMb ?? 0;
    let best: AdapterPlacement | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    for (const tracker of trackers) {
        if (
            !tracker.models.has(model) || !tracker.canOrder || tracker.unloadingAdapters.size > 0 || tracker.server.state !== UpstreamState.Ready ||
            tracker.adapters.has(artifactKey(model, adapter))
        ) {
            continue;
        }
        const isFull = tracker.usedAdapterSlots >= engine.adapterSlots || tracker.usedMb(engine) + sizeMb > engine.memoryMb;
        const victim = isFull ? leastRecentlyUsed(tracker) : undefined;
        if (isFull && (!victim || now - victim[1] < minIdleMs)) {
            continue;
        }
        // An eviction counts as much as the load of a third of a batch.
        const cost = loadOf(tracker.server.id) + (victim ? engine.slots / 3 : 0);
        if (cost < bestCost) {
            bestCost = cost;
            best = { tracker, evict: victim && splitArtifact(victim[0]) };
        }
    }
    return best;
};

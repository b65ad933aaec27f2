import { artifactKey } from "../types/modelRequest";
import type { EngineSpec } from "../types/servingConfig";
import { UpstreamState } from "../types/upstreamServer";
import type { RunnerTracker } from "./runnerTracker";

/** An adapter that was used this recently is not evicted. */
const inUseMs = 400;

/** Where an adapter is loaded, and which one is evicted for it. */
export interface AdapterPlacement {
    readonly tracker: RunnerTracker;
    readonly evict?: { readonly model: string; readonly adapter: string; };
}

const splitArtifact = (artifact: string): { readonly model: string; readonly adapter: string; } => {
    const slash = artifact.indexOf("/");
    return { model: artifact.slice(0, slash), adapter: artifact.slice(slash + 1) };
};

const oldestAdapter = (book: RunnerTracker): readonly [string, number] | undefined =>
    [...book.adapters].filter(([artifact]) => !book.unloadingAdapters.has(artifact)).sort(([, a], [, b]) => a - b)[0];

/** Chooses a holder of the model for an adapter: one with a free place, else one whose least recently used adapter is evicted; the least busy first. */
export const chooseAdapterPlacement = (
    books: readonly RunnerTracker[],
    engine: EngineSpec,
    model: string,
    adapter: string,
    loadOf: (runner: string) => number,
    now = performance.now(),
): AdapterPlacement | undefined => {
    const sizeMb = engine.models.get(model)?.adapterMemoryMb ?? 0;
    let best: AdapterPlacement | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    for (const book of books) {
        if (
            !book.models.has(model) || !book.canOrder || book.unloadingAdapters.size > 0 || book.server.state !== UpstreamState.Ready ||
            book.adapters.has(artifactKey(model, adapter))
        ) {
            continue;
        }
        const isFull = book.adapters.size >= engine.adapterSlots || book.usedMb(engine) + sizeMb > engine.memoryMb;
        const oldest = isFull ? oldestAdapter(book) : undefined;
        if (isFull && (!oldest || now - oldest[1] < inUseMs)) {
            continue;
        }
        // A place that must be cleared first weighs like a third of a batch.
        const cost = loadOf(book.server.id) + (oldest ? engine.slots / 3 : 0);
        if (cost < bestCost) {
            bestCost = cost;
            best = { tracker: book, evict: oldest && splitArtifact(oldest[0]) };
        }
    }
    return best;
};

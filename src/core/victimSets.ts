import type { EngineSpec } from "../types/servingConfig";
import type { RunnerTracker } from "./runnerTracker";

/** A model with demand is not unloaded before this much time has passed since its load. */
const minResidencyMs = 4_000;

/** Sets of models whose unload frees enough memory on a runner: the empty set, each single model, or several with the least load. */
export const victimSets = (
    tracker: RunnerTracker,
    missingMb: number,
    engine: EngineSpec,
    loadOf: (model: string) => number,
): readonly (readonly string[])[] => {
    if (missingMb <= 0) {
        return [[]];
    }
    const sizeOf = (name: string): number => engine.models.get(name)?.memoryMb ?? 0;
    const candidates = [...tracker.models].filter(name => tracker.heldMs(name) > minResidencyMs || loadOf(name) === 0);
    const single = candidates.filter(name => sizeOf(name) >= missingMb).map(name => [name]);
    if (single.length > 0) {
        return single;
    }
    const victims: string[] = [];
    let freedMb = 0;
    for (const name of candidates.sort((a, b) => loadOf(a) - loadOf(b))) {
        if (freedMb < missingMb) {
            victims.push(name);
            freedMb += sizeOf(name);
        }
    }
    return freedMb >= missingMb ? [victims] : [];
};

import { RunnerOrderKind } from "../types/runner";
import type { ModelSpec } from "../types/servingConfig";
import type { RunnerTracker } from "./runnerTracker";

/** One order of the copy plan. */
export interface CopyStep {
    readonly kind: RunnerOrderKind;
    readonly runner: string;
    readonly model: string;
    /** The model for which an unload frees memory. */
    readonly freesMemoryFor?: string;
    readonly advantage: number;
}

/** A load of a model on a runner, with the models to unload for it first. */
export interface CopyOption {
    readonly tracker: RunnerTracker;
    readonly victims: readonly string[];
    readonly advantage: number;
    /** The advantage, less what waiting requests lose until the copy serves: of several options, the greatest is taken. */
    readonly rank: number;
}

/** The first order of an option: the unload of its first victim, or the load if there is none. */
export const toStep = (model: ModelSpec, { tracker, victims, advantage }: CopyOption): CopyStep => {
    const [victim] = victims;
    const runner = tracker.server.id;
    return victim === undefined
        ? { kind: RunnerOrderKind.Load, runner, model: model.name, advantage }
        : { kind: RunnerOrderKind.Unload, runner, model: victim, freesMemoryFor: model.name, advantage };
};

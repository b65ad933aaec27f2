import { RunnerOrderKind } from "../types/runner";
import type { ModelSpec } from "../types/servingConfig";
import type { RunnerTracker } from "./runnerTracker";

/** One order that the plan asks for. */
export interface CopyStep {
    readonly kind: RunnerOrderKind;
    readonly runner: string;
    readonly model: string;
    /** The model that an unload makes room for. */
    readonly freesMemoryFor?: string;
    readonly advantage: number;
}

/** A way to bring a model to a runner. */
export interface CopyOption {
    readonly tracker: RunnerTracker;
    readonly victims: readonly string[];
    readonly advantage: number;
}

/** The first order of a way. */
export const toStep = (model: ModelSpec, { tracker: book, victims, advantage }: CopyOption): CopyStep => {
    const [victim] = victims;
    const runner = book.server.id;
    return victim === undefined
        ? { kind: RunnerOrderKind.Load, runner, model: model.name, advantage }
        : { kind: RunnerOrderKind.Unload, runner, model: victim, freesMemoryFor: model.name, advantage };
};

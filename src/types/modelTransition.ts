import type { RunnerOrderKind } from "./runner";

/** A load or unload of a model that the runner is executing. */
export interface ModelTransition {
    readonly kind: RunnerOrderKind;
    readonly model: string;
    /** Estimated end, on the monotonic clock. */
    readonly doneAt: number;
}

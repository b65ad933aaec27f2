import type { RunnerOrder } from "../types/runner";
import type { EngineSpec } from "../types/servingConfig";

/** What a load takes up at a runner. */
export interface LoadSize {
    readonly memoryMb: number;
    readonly adapterSlots: number;
}

/** Memory of an adapter, given as `model/adapter`, in MB. */
export const adapterMb = (engine: EngineSpec, artifact: string): number => engine.models.get(artifact.slice(0, artifact.indexOf("/")))?.adapterMemoryMb ?? 0;

/** What the model or adapter of an order takes up. */
export const loadSizeOf = ({ model, adapter }: Pick<RunnerOrder, "model" | "adapter">, engine: EngineSpec): LoadSize => {
    const spec = engine.models.get(model);
    return adapter === undefined ? { memoryMb: spec?.memoryMb ?? 0, adapterSlots: 0 } : { memoryMb: spec?.adapterMemoryMb ?? 0, adapterSlots: 1 };
};

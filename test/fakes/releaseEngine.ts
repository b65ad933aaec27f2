import type { EngineSpec, ModelSpec } from "../../src/types/servingConfig";

const createModel = (name: string, modelLoadMs: number): ModelSpec => ({
    name,
    memoryMb: 60_000,
    loadMs: modelLoadMs,
    warmLoadMs: 300,
    diskLoadMs: 700,
    adapters: 0,
    adapterMemoryMb: 0,
});
/** An engine for runners that hold two of its models each. */
export const createReleaseEngine = (modelLoadMs: number): EngineSpec => ({
    slots: 64,
    kvTokens: 100_000,
    tokensPerEvent: 4,
    memoryMb: 130_000,
    adapterSlots: 1,
    loadsPerS: 2,
    models: new Map(["m1", "m2"].map(name => [name, createModel(name, modelLoadMs)])),
});

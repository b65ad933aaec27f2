import type { AdapterRecord, ModelRecord } from "./recordSchemas";

/** Artifact name of a model version, as used in memory reservations, orders and reports. */
export const modelArtifact = (model: ModelRecord): string => `model:${model.name}@${model.version}`;
/** Artifact name of an adapter version, as used in memory reservations, orders and reports. */
export const adapterArtifact = (adapter: AdapterRecord): string => `adapter:${adapter.name}@${adapter.version}`;
/** Whether an artifact is an adapter. */
export const isAdapter = (artifact: string): boolean => artifact.startsWith("adapter:");
/** The artifact name without its version. */
export const unversioned = (artifact: string): string => artifact.slice(0, artifact.lastIndexOf("@"));

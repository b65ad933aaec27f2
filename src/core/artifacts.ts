import type { AdapterRecord, ModelRecord } from "./recordSchemas";

/** Names a version of a model in ledgers, orders and reports. */
export const modelArtifact = (model: ModelRecord): string => `model:${model.name}@${model.version}`;
/** Names a version of an adapter in ledgers, orders and reports. */
export const adapterArtifact = (adapter: AdapterRecord): string => `adapter:${adapter.name}@${adapter.version}`;
/** Whether an artifact is an adapter. */
export const isAdapter = (artifact: string): boolean => artifact.startsWith("adapter:");
/** The artifact without its version. */
export const unversioned = (artifact: string): string => artifact.slice(0, artifact.lastIndexOf("@"));

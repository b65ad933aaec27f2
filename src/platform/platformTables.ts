/** Tables and keys of the platform's store that only operators and upstreams may write; nodes read them. */
export const platformTables = { config: "op", configKey: "config", directory: "servers" } as const;

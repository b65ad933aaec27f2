/** Tables and keys of the platform's store that operators and upstreams write. Only they may write to them; nodes read them. */
export const platformTables = { config: "op", configKey: "config", directory: "servers" } as const;

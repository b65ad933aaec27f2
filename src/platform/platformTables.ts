/** Where operators and upstreams write in the platform's store. Only they may write there. */
export const platformTables = { config: "op", configKey: "config", directory: "servers" } as const;

import type { SettingName, StandaloneNodeSettings } from "../../src/node/standaloneNodeSettings";
import { readSettings } from "../../src/node/standaloneNodeSettings";

/** Settings of a standalone node that uses only stand-ins within its own process. */
export const createStandaloneTestSettings = (
    nodeId: string,
    availabilityZone: string,
    overrides: Readonly<Partial<Record<SettingName, string>>> = {},
): StandaloneNodeSettings => {
    const url = "http://127.0.0.1:1";
    const secret = "a-secret-of-the-stand-ins";
    const rawSettings = {
        listen: "127.0.0.1:0",
        nodeId,
        availabilityZone,
        advertiseUrl: `${url}/${nodeId}`,
        tableUrl: url,
        objectStoreUrl: url,
        vmListUrl: url,
        peerSecret: secret,
        operatorToken: secret,
        ...overrides,
    };
    const result = readSettings(rawSettings);
    if (!result.ok) {
        throw new Error(JSON.stringify(result.faults));
    }
    return result.settings;
};

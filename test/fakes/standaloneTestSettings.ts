import type { SettingName, StandaloneNodeSettings } from "../../src/node/standaloneNodeSettings";
import { readSettings } from "../../src/node/standaloneNodeSettings";

/** Settings of a node that meets only stand-ins in its own process. */
export const createStandaloneTestSettings = (
    nodeId: string,
    availabilityZone: string,
    others: Readonly<Partial<Record<SettingName, string>>> = {},
): StandaloneNodeSettings => {
    const url = "http://127.0.0.1:1";
    const secret = "a-secret-of-the-stand-ins";
    const given = {
        listen: "127.0.0.1:0",
        nodeId,
        availabilityZone,
        advertiseUrl: `${url}/${nodeId}`,
        tableUrl: url,
        objectStoreUrl: url,
        vmListUrl: url,
        peerSecret: secret,
        operatorToken: secret,
        ...others,
    };
    const reading = readSettings(given);
    if (!reading.ok) {
        throw new Error(JSON.stringify(reading.faults));
    }
    return reading.settings;
};

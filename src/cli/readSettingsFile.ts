import { readFileSync } from "node:fs";
import type { PassingWaits } from "../core/passingWaits";
import type { SettingsFileResult } from "../platform/settingsFile";
import { parseSettingsFile } from "../platform/settingsFile";
import type { PlatformNodeSettings } from "../types/platformNodeSettings";
import type { TransportLimits } from "../types/transportLimits";
import { errorCodeOf } from "../utils/transport";
import { namedFaults } from "./namedFaults";

/** What a settings file without faults says, with its text. */
export interface SettingsReading {
    readonly settings: PlatformNodeSettings;
    readonly text: string;
}

const readOnce = (file: string, limits: TransportLimits): SettingsFileResult & { readonly text: string; } => {
    try {
        const text = readFileSync(file, "utf8");
        return { text, ...parseSettingsFile(text, limits) };
    }
    catch (err) {
        return { text: "", faults: [`the settings file cannot be read: ${errorCodeOf(err)}`] };
    }
};

/** Reads the settings file at the start. The platform may still be writing it, or write it anew: one that is missing or has faults is waited for. */
export const readSettingsFile = (file: string, limits: TransportLimits, waits: PassingWaits): Promise<SettingsReading | undefined> =>
    waits.run<SettingsReading>(`settings ${file}`, () => {
        const reading = readOnce(file, limits);
        return Promise.resolve("settings" in reading ? { kind: "done", value: reading } : { kind: "waiting", reason: namedFaults(reading.faults).join("; ") });
    });

import { readFileSync } from "node:fs";
import type { SettingsFileResult } from "../platform/settingsFile";
import { parseSettingsFile } from "../platform/settingsFile";
import { EventId } from "../types/eventId";
import type { TransportLimits } from "../types/transportLimits";
import { emit } from "../utils/events";
import { sleep } from "../utils/time";
import { errorCodeOf } from "../utils/transport";

/** The platform may still be writing the file when it starts the process. */
const maxWaitMs = 2_000;
const retryPauseMs = 100;

/** What a settings file says, with its text. */
export type SettingsReading = SettingsFileResult & { readonly text: string; };

const readOnce = (file: string, limits: TransportLimits): SettingsReading => {
    try {
        const text = readFileSync(file, "utf8");
        return { text, ...parseSettingsFile(text, limits) };
    }
    catch (err) {
        return { text: "", faults: [`${file}: the settings file cannot be read: ${errorCodeOf(err)}`] };
    }
};

/** Reads the settings file at the start; a file that is missing or has faults is read again for a while. */
export const readSettingsFile = async (file: string, limits: TransportLimits): Promise<SettingsReading> => {
    const givenUpAt = performance.now() + maxWaitMs;
    for (let attempt = 1;; attempt++) {
        const reading = readOnce(file, limits);
        if ("settings" in reading || performance.now() >= givenUpAt) {
            return reading;
        }
        if (attempt === 1) {
            emit(EventId.NodeStartRetried, { file, faults: reading.faults });
        }
        await sleep(retryPauseMs);
    }
};

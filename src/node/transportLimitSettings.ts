import type { TransportLimits } from "../types/transportLimits";
import type { SettingFault } from "./settingSpecs";
import { defineSettings, integerSpec, validateSettings } from "./settingSpecs";

/** Key of a transport limit. */
export type TransportLimitName = keyof TransportLimits;

/** The limits on answers as settings of a node on the platform. */
export const transportLimitDefinitions = defineSettings<TransportLimitName>({
    maxAnswerHeadBytes: integerSpec(1_024, 1_048_576, 32_768, "bytes", "maximum size of the head of an answer from an upstream or the store"),
    maxAnswerBytes: integerSpec(65_536, 268_435_456, 16_777_216, "bytes", "maximum size of an answer that is kept in memory until it is complete"),
    maxHeldAnswerBytes: integerSpec(
        1_048_576,
        1_073_741_824,
        33_554_432,
        "bytes",
        "maximum size of all answers together that are kept in memory until they are complete; one of them may be as large as its equal share in any case",
    ),
    maxReportBytes: integerSpec(
        16_384,
        16_777_216,
        1_048_576,
        "bytes",
        "maximum size of a runner's report; one that names 1,400 models in memory and on disk has 0.3 MB",
    ),
    maxOwnAnswerBytes: integerSpec(
        1_048_576,
        1_073_741_824,
        16_777_216,
        "bytes",
        "maximum size of all answers of runners, peers and the store together while the node reads them for itself; those of runners are given up first, beyond half of it, and those of the store never",
    ),
    maxEventBytes: integerSpec(1_024, 16_777_216, 1_048_576, "bytes", "maximum size of one event of a stream"),
    answerSilenceMs: integerSpec(50, 60_000, 600, "ms", "time within which the store and peers begin an answer, and longest pause within it"),
    answerTimeoutMs: integerSpec(100, 60_000, 4_000, "ms", "time within which the store and peers complete an answer that they have begun"),
});

/** Validates the limits and lists every fault. */
export const readTransportLimits = (
    values: Readonly<Partial<Record<TransportLimitName, string>>>,
): { readonly limits: TransportLimits; } | { readonly faults: readonly SettingFault[]; } => {
    const { settings, faults } = validateSettings(transportLimitDefinitions, values);
    return faults.length > 0 ? { faults } : { limits: settings as unknown as TransportLimits };
};

/** The limits in force if no setting changes them. */
export const defaultTransportLimits: TransportLimits = validateSettings(transportLimitDefinitions, {}).settings as unknown as TransportLimits;

import { z } from "zod";
import { defaultCrossZoneMsPerMb } from "../core/zoneSpill";
import type { SettingFault } from "./settingSpecs";
import { defineSettings, settingSpec, validateSettings } from "./settingSpecs";

/** Key of a setting about traffic between zones. */
type CrossZoneSettingName = "crossZoneCost";

const maxMsPerMb = 100_000;

/** The settings about traffic between zones of a node on the platform. */
export const crossZoneDefinitions = defineSettings<CrossZoneSettingName>({
    crossZoneCost: settingSpec({
        schema: z.coerce.number().min(0).max(maxMsPerMb),
        allowed: `a number from 0 to ${maxMsPerMb}`,
        unit: "ms/MB",
        defaultValue: String(defaultCrossZoneMsPerMb),
        description:
            "time of a caller that the transfer of one MB of a request to another availability zone may cost; a higher value keeps more requests in their zone. Requests leave by this rule where upstreams report a pace, or for all services if the setting is given",
    }),
});

/** Validates the settings and lists every fault. The cost is undefined if it is not given: then the default holds where upstreams report a pace. */
export const readCrossZoneSettings = (
    values: Readonly<Partial<Record<CrossZoneSettingName, string>>>,
): { readonly crossZoneMsPerMb: number | undefined; } | { readonly faults: readonly SettingFault[]; } => {
    const { settings, faults } = validateSettings(crossZoneDefinitions, values);
    return faults.length > 0 ? { faults } : { crossZoneMsPerMb: values.crossZoneCost === undefined ? undefined : settings.crossZoneCost as number };
};

import { defaultCrossZoneMsPerMb, ZoneSpill } from "../core/zoneSpill";
import type { Gateway } from "./gateway";

/** Creates the rule by which a node's requests leave its zone. */
export const createZoneSpill = (gateway: Gateway): ZoneSpill =>
    ZoneSpill.create({
        zone: () => gateway.settings.availabilityZone,
        msPerMb: () => gateway.settings.crossZoneMsPerMb ?? defaultCrossZoneMsPerMb,
        random: () => gateway.random(),
    });

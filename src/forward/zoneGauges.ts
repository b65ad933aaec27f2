import type { ZonePair } from "../core/zonePair";
import type { GaugeSpec } from "../plugins/metrics";
import { ZoneRefusal } from "../types/zoneRefusal";
import type { Gateway } from "./gateway";

const msPerSecond = 1_000;

/** Gauges of the requests that leave the node's zone, over all services and other zones. */
export const zoneGauges = ({ zoneSpill }: Gateway): readonly GaugeSpec[] => {
    const sum = (read: (pair: ZonePair) => number): number => [...zoneSpill.all()].reduce((total, pair) => total + read(pair), 0);
    return [
        { name: "zone_choices_left", help: "Choices of an upstream in another zone since the start", read: () => sum(({ left }) => left) },
        {
            name: "zones_uneven",
            help: "Services and other zones that are much faster or slower than the own zone",
            read: () => sum(({ isUneven }) => isUneven ? 1 : 0),
        },
        {
            name: "zone_share_lowest",
            help: "Smallest share of the requests of a service that may leave for another zone, 1 without a bound",
            read: () => [...zoneSpill.all()].reduce((lowest, { share }) => Math.min(lowest, share), 1),
        },
        {
            name: "zone_figures_oldest_seconds",
            help: "Greatest age of the newest figures about a service in another zone, at its last choice",
            read: () => [...zoneSpill.all()].reduce((oldest, { ageMs }) => Number.isFinite(ageMs) ? Math.max(oldest, ageMs) : oldest, 0) / msPerSecond,
        },
        ...Object.values(ZoneRefusal).map(reason => ({
            name: `zone_choices_kept_${reason}`,
            help: "Choices that did not leave for a zone since the start, for the reason in the name",
            read: () => sum(({ refused }) => refused[reason]),
        })),
    ];
};

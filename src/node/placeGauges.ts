import type { RequestPacer } from "../core/requestPacer";
import type { GaugeSpec } from "../plugins/metrics";
import { PlaceLack } from "../types/sendPermit";

/** Gauges of the places that this node gives at runners which fail beyond their memory. */
export const placeGauges = ({ rooms }: RequestPacer): readonly GaugeSpec[] => [
    { name: "generations_admitted", help: "Generations to which this node gave a place at their runner, since the start", read: () => rooms.admitted },
    ...Object.values(PlaceLack).map(lack => ({
        name: `generations_denied_${lack}`,
        help: `Generations that this node gave no place in time, for want of: ${lack}; since the start`,
        read: () => rooms.deniedBy(lack),
    })),
    { name: "places_queued", help: "Requests that wait at this node for a place at an upstream", read: () => rooms.queued },
    { name: "runner_memory_share_largest", help: "Largest share of its memory that a runner of this node's has in use", read: () => rooms.largestMemoryShare },
];

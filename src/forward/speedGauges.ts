import type { GaugeSpec } from "../plugins/metrics";
import type { Gateway } from "./gateway";

const msPerSecond = 1_000;

/** Gauges of the speeds of upstreams that the nodes learned. */
export const speedGauges = ({ learnedSpeeds }: Gateway): readonly GaugeSpec[] => [
    { name: "learned_speeds", help: "Learned speeds of services and models in use", read: () => learnedSpeeds.size },
    { name: "learned_speed_samples", help: "Samples that speeds were learned from since the start", read: () => learnedSpeeds.samples },
    { name: "learned_speed_oldest_seconds", help: "Age of the speed that was learned longest ago", read: () => learnedSpeeds.oldestAgeMs / msPerSecond },
];

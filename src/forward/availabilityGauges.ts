import type { GaugeSpec } from "../plugins/metrics";
import { IgnoredHeader } from "../types/upstreamWord";
import type { Gateway } from "./gateway";

const msPerSecond = 1_000;

/** Gauges of what upstreams say of their availability. */
export const availabilityGauges = ({ availability, quietWaiters }: Gateway): readonly GaugeSpec[] => [
    { name: "upstreams_leaving", help: "Upstreams in the directory that said that they are leaving", read: () => availability.leavingCount },
    {
        name: "upstreams_quiet",
        help: "Upstreams that asked this node for no requests for a time that is not over",
        read: () => availability.quietTimesLeft.length,
    },
    {
        name: "upstream_quiet_longest_seconds",
        help: "Longest time left for which an upstream asked for no requests",
        read: () => Math.max(0, ...availability.quietTimesLeft) / msPerSecond,
    },
    { name: "upstreams_brittle", help: "Upstreams that say that they fail if they reject many requests", read: () => availability.brittle.size },
    { name: "requests_awaiting_quiet", help: "Requests that wait for the end of a quiet time", read: () => quietWaiters.size },
    ...Object.values(IgnoredHeader).map(reason => ({
        name: `upstream_headers_ignored_${reason}`,
        help: "Headers about an upstream's availability that were ignored since the start, for the reason in the name",
        read: () => availability.ignoredCount(reason),
    })),
];

import type { RunnerLoads } from "../types/placement";
import type { UpstreamTraffic } from "./upstreamTraffic";

const noLoad: RunnerLoads[string] = [0, 0];

/** Load that a node's own requests put on upstreams. */
export const ownLoadsOf = (trafficByUpstream: ReadonlyMap<string, UpstreamTraffic>): RunnerLoads => {
    const loads: Record<string, readonly [number, number]> = {};
    trafficByUpstream.forEach(({ pendingPrefillMs, inFlight }, id) => {
        if (inFlight > 0) {
            loads[id] = [Math.round(pendingPrefillMs), inFlight];
        }
    });
    return loads;
};

/** Records the load that other nodes put on upstreams; those that are not listed have none. */
export const applyPeerLoads = (
    loads: RunnerLoads,
    trafficByUpstream: ReadonlyMap<string, UpstreamTraffic>,
    trafficOf: (id: string) => UpstreamTraffic,
): void => {
    trafficByUpstream.forEach((traffic, id) => traffic.onPeerLoad(...(Object.hasOwn(loads, id) ? loads[id]! : noLoad)));
    Object.entries(loads).filter(([id]) => !trafficByUpstream.has(id)).forEach(([id, load]) => trafficOf(id).onPeerLoad(...load));
};

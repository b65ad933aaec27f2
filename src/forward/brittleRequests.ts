import { processKey } from "../types/upstreamServer";
import type { Gateway } from "./gateway";

/** This node's requests in progress at brittle upstreams, by process. */
export const brittleRequests = (gateway: Gateway): readonly { readonly runner: string; readonly count: number; }[] => {
    const { availability: { brittle }, directory } = gateway;
    const servers = brittle.size === 0 ? [] : directory.all().filter(server => brittle.limitOf(server) !== undefined);
    return servers.map(server => ({ runner: processKey(server), count: gateway.trafficOf(server.id).inFlight }));
};

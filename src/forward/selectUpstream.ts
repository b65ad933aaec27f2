import type { UpstreamCandidate, UpstreamChoice } from "../core/chooseUpstream";
import { chooseUpstream } from "../core/chooseUpstream";
import { artifactKey } from "../types/modelRequest";
import type { UpstreamServer } from "../types/upstreamServer";
import { rankByHashCached } from "../utils/hash";
import type { Call } from "./call";
import type { Gateway } from "./gateway";

/** Share of a shared part that the part's preferred runner is thought to keep, though this node has not seen it there. */
const preferredKeptShare = 0.7;

/** Runners of a service that hold a model. */
export const serversWithModel = (gateway: Gateway, service: string, model: string): readonly UpstreamServer[] =>
    gateway.directory.readyOf(service).filter(server => gateway.residency.hasModel(server, model));

/** The shared parts' last ID: the last part of all belongs to the request or its session. */
const sharedKey = (call: Call): string | undefined => call.caller.modelRequest?.parts.at(-2)?.id;

const toCandidate = (gateway: Gateway, call: Call, server: UpstreamServer, preferred: string | undefined): UpstreamCandidate => {
    const { modelRequest: need } = call.caller;
    const traffic = gateway.trafficOf(server.id);
    if (!need) {
        return { server, traffic, prefillTokens: 0, timeFactor: 1 };
    }
    const shared = need.parts.slice(0, -1).reduce((sum, { tokens }) => sum + tokens, 0);
    const guessed = server.id === preferred ? preferredKeptShare * shared : 0;
    const kept = Math.max(gateway.cache.cachedTokens(server.id, need), guessed);
    return { server, traffic, prefillTokens: Math.max(1, need.promptTokens - kept), timeFactor: 1 };
};

/** Upstreams that can run the request now, without those that it met already. */
export const candidatesFor = (gateway: Gateway, call: Call, met: ReadonlySet<string>): readonly UpstreamServer[] => {
    const { modelRequest: need } = call.caller;
    const servers = need ? serversWithModel(gateway, call.service, need.model) : gateway.directory.readyOf(call.service);
    const artifact = need?.adapter === undefined ? undefined : artifactKey(need.model, need.adapter);
    return servers.filter(({ id }) => !met.has(id) && (artifact === undefined || gateway.residency.hasAdapter(id, artifact)));
};

/** Chooses among the upstreams that can run the request now. */
export const selectUpstream = (gateway: Gateway, call: Call, met: ReadonlySet<string>): UpstreamChoice | undefined => {
    const servers = candidatesFor(gateway, call, met);
    const key = sharedKey(call);
    const preferred = key === undefined ? undefined : rankByHashCached(key, servers.map(({ id }) => id).sort())[0];
    return chooseUpstream(servers.map(server => toCandidate(gateway, call, server, preferred)), gateway.settings.availabilityZone);
};

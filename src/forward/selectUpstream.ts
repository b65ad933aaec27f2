import type { UpstreamCandidate, UpstreamChoice } from "../core/chooseUpstream";
import { chooseUpstream } from "../core/chooseUpstream";
import { artifactKey, sharedPartIds } from "../types/modelRequest";
import type { UpstreamServer } from "../types/upstreamServer";
import { processKey } from "../types/upstreamServer";
import { rankByHashCached } from "../utils/hash";
import type { Call } from "./call";
import type { Gateway } from "./gateway";
import { needsPlace } from "./generationTerms";
import { allowsUpstream } from "./versionPin";

/** Share of a prompt's shared parts that their preferred runner is assumed to have cached, even if this node has not sent them there. */
const preferredCachedShare = 0.7;

/** Tokens in an event of a stream, assumed for a service whose engine the configuration does not describe. */
const defaultTokensPerEvent = 4;

/** Runners of a service that have a model loaded and take requests, now or after a quiet time. */
export const serversWithModel = (gateway: Gateway, service: string, model: string): readonly UpstreamServer[] =>
    gateway.availability.servingOf(service).filter(server => gateway.residency.hasModel(server, model));

/** What a limit that an upstream has named, or the wait for a place, adds to the predicted time; undefined if it needs neither. */
const turnDelayOf = (gateway: Gateway, call: Call, server: UpstreamServer): number | undefined => {
    const { runnerLimits } = gateway;
    const runner = processKey(server);
    return runnerLimits.delayOf(runner) ?? (needsPlace(gateway, call, server) ? runnerLimits.expectedWaitMs(runner) : undefined);
};

/** Describes an upstream for the choice; `preferred` is the one that is assumed to have the prompt cached. */
export const toCandidate = (gateway: Gateway, call: Call, server: UpstreamServer, preferred: string | undefined): UpstreamCandidate => {
    const { modelRequest } = call.caller;
    const traffic = gateway.trafficOf(server.id);
    const speeds = gateway.learnedSpeeds.speedsOf(call.service);
    const turnDelayMs = turnDelayOf(gateway, call, server);
    if (!modelRequest) {
        return { server, traffic, prefillTokens: 0, tokensPerEvent: 1, speeds, timeFactor: 1, turnDelayMs };
    }
    const tokensPerEvent = gateway.engineOf(call.service)?.tokensPerEvent ?? defaultTokensPerEvent;
    const sharedTokens = modelRequest.parts.slice(0, -1).reduce((sum, { tokens }) => sum + tokens, 0);
    const assumedTokens = server.id === preferred ? preferredCachedShare * sharedTokens : 0;
    const isModelExpected = gateway.residency.isExpected(server, modelRequest.model);
    const cached = Math.max(gateway.cache.cachedTokens(server.id, modelRequest), assumedTokens);
    const timeFactor = gateway.learnedSpeeds.factorOf(call.service, modelRequest.model);
    const prefillTokens = Math.max(1, modelRequest.promptTokens - cached);
    return { server, traffic, prefillTokens, tokensPerEvent, speeds, timeFactor, turnDelayMs, isModelExpected };
};

/** Upstreams that can run the request, now or after a quiet time, excluding those already tried. */
export const candidatesFor = (gateway: Gateway, call: Call, tried: ReadonlySet<string>): readonly UpstreamServer[] => {
    const { modelRequest } = call.caller;
    const servers = modelRequest ? serversWithModel(gateway, call.service, modelRequest.model) : gateway.availability.servingOf(call.service);
    const artifact = modelRequest?.adapter === undefined ? undefined : artifactKey(modelRequest.model, modelRequest.adapter);
    return servers.filter(server =>
        !tried.has(server.id) && allowsUpstream(call.versionPin, server) && (artifact === undefined || gateway.residency.hasAdapter(server.id, artifact))
    );
};

/** Whether the node decides which requests leave its zone: where upstreams tell how fast they are, or for all services if operators state what leaving costs. */
const decidesOnZones = ({ settings }: Gateway, candidates: readonly UpstreamCandidate[]): boolean =>
    settings.crossZoneMsPerMb !== undefined || candidates.some(({ traffic }) => traffic.reportsPace);

/** Chooses one of the upstreams that can run the request now. */
export const selectUpstream = (gateway: Gateway, call: Call, tried: ReadonlySet<string>): UpstreamChoice | undefined => {
    const servers = candidatesFor(gateway, call, tried).filter(server => gateway.availability.mayTake(server));
    const { modelRequest } = call.caller;
    const sharedPartId = modelRequest && sharedPartIds(modelRequest).at(-1);
    const preferred = sharedPartId === undefined ? undefined : rankByHashCached(sharedPartId, servers.map(({ id }) => id).sort())[0];
    const { random, zoneSpill: spill, settings: { availabilityZone } } = gateway;
    const request = {
        service: call.service,
        latencyObjectiveMs: call.route.latencyObjectiveMs,
        bytes: call.body.length,
        isPassedOn: call.progress.relayed !== undefined,
    };
    const candidates = servers.map(server => toCandidate(gateway, call, server, preferred));
    return chooseUpstream(candidates, availabilityZone, random, decidesOnZones(gateway, candidates) ? { request, spill } : undefined);
};

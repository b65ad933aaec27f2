import type { UpstreamChoice } from "../core/chooseUpstream";
import { isShortPrefill, maxPrefillShare } from "../core/prefillSchedule";
import type { GenerationTerms } from "../types/sendPermit";
import type { ServingConfig } from "../types/servingConfig";
import { RouteKind } from "../types/servingConfig";
import type { UpstreamServer } from "../types/upstreamServer";
import { processKey } from "../types/upstreamServer";
import type { Call } from "./call";
import type { Gateway } from "./gateway";

/** Allowed gap between events of a route that sets none. */
const defaultGapMs = 600;
/**
 * Share of a runner's slots and of its memory up to which it is taken to have room, by load figures that are up to 1.5 s old and the usual size of a generation. The rest
 * covers what other nodes send meanwhile.
 */
const maxKnownLoadShare = 0.5;
/** Largest generation, as a share of a runner's memory, that is sent without a place to one that has room. */
const maxUnplacedShare = 0.1;

/** The expected tokens of each call, which must not change between its places. */
const tokensByCall = new WeakMap<Call, number>();
const urgentPriorities = new WeakMap<ServingConfig, Map<string, number>>();

/** Prompt and expected output of a generation, in tokens; 0 for other requests. */
export const expectedTokensOf = (gateway: Gateway, call: Call): number => {
    const { modelRequest } = call.caller;
    if (!modelRequest) {
        return 0;
    }
    const known = tokensByCall.get(call);
    if (known !== undefined) {
        return known;
    }
    const outputShare = gateway.outputShares.of(call.service);
    const tokens = modelRequest.promptTokens + Math.ceil(outputShare.expected * modelRequest.maxOutputTokens);
    outputShare.onRequest(tokens);
    tokensByCall.set(call, tokens);
    return tokens;
};

/** Priority of the most urgent routes of each service, among those whose answers are streams. */
const urgentPriorityOf = (config: ServingConfig | undefined, service: string): number => {
    if (!config) {
        return Number.NEGATIVE_INFINITY;
    }
    let byService = urgentPriorities.get(config);
    if (!byService) {
        byService = new Map();
        for (const { kind, priority, targets } of config.routes) {
            for (const target of kind === RouteKind.Streaming ? targets : []) {
                byService.set(target.service, Math.min(priority, byService.get(target.service) ?? priority));
            }
        }
        urgentPriorities.set(config, byService);
    }
    return byService.get(service) ?? Number.NEGATIVE_INFINITY;
};

/** Memory of a service's runners, if they fail beyond it; undefined for other services. */
const kvTokensOf = (gateway: Gateway, service: string): number | undefined => {
    const kvTokens = gateway.settings.hasRunnerPressure ? gateway.engineOf(service)?.kvTokens : undefined;
    return kvTokens !== undefined && kvTokens > 0 && Number.isFinite(kvTokens) ? kvTokens : undefined;
};

/** Whether generations need a place at the runners of a service. */
export const admitsGenerations = (gateway: Gateway, service: string): boolean => kvTokensOf(gateway, service) !== undefined;

/** Whether a runner has room by the figures that this node knows, also for a generation of some tokens. */
export const hasKnownRoom = (gateway: Gateway, server: UpstreamServer, kvTokens: number, tokens = 0): boolean => {
    const { load } = gateway.trafficOf(server.id);
    const knownTokens = (load + 1) * Math.max(tokens, gateway.outputShares.of(server.service).meanTokens);
    return load <= maxKnownLoadShare * server.slots && knownTokens <= maxKnownLoadShare * kvTokens &&
        gateway.runnerLimits.expectedWaitMs(processKey(server)) === 0;
};

/** Whether a request needs a place at an upstream. */
export const needsPlace = (gateway: Gateway, call: Call, server: UpstreamServer): boolean =>
    gateway.availability.brittle.limitOf(server) !== undefined || (call.caller.modelRequest !== undefined && admitsGenerations(gateway, call.service));

/** What a generation takes of the chosen runner; undefined if it needs no place for that. */
export const generationTermsOf = (gateway: Gateway, call: Call, { candidate, prefillMs }: UpstreamChoice): GenerationTerms | undefined => {
    const kvTokens = kvTokensOf(gateway, call.service);
    if (kvTokens === undefined || !call.caller.modelRequest) {
        return undefined;
    }
    const { server, traffic } = candidate;
    const { route } = call;
    const gapMs = route.kind === RouteKind.Streaming ? route.eventGapObjectiveMs : undefined;
    const isUrgent = route.kind === RouteKind.Streaming && route.priority <= urgentPriorityOf(gateway.config, call.service) &&
        isShortPrefill(prefillMs, gapMs ?? defaultGapMs);
    const tokens = expectedTokensOf(gateway, call);
    const isReadInTime = traffic.waitingPrefillMs + prefillMs <= maxPrefillShare * (gapMs ?? defaultGapMs);
    return {
        tokens,
        kvTokens,
        prefillMs,
        gapMs,
        isUrgent,
        isSent: isReadInTime && tokens <= maxUnplacedShare * kvTokens && hasKnownRoom(gateway, server, kvTokens, tokens),
        customer: call.customer?.name,
        unplacedTokens: traffic.tokensInFlight,
    };
};

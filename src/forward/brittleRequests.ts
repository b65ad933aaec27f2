import { maxUnaskedShare } from "../core/generationLoad";
import { processKey } from "../types/upstreamServer";
import type { Gateway } from "./gateway";
import { admitsGenerations, hasKnownRoom } from "./generationTerms";

/** This node's requests in progress at one upstream. */
interface RequestsInProgress {
    readonly runner: string;
    readonly count: number;
    /** Tokens of the generations among them. */
    readonly tokens: number;
    /** Tokens without a place below which they need not be told: the runner has room, or its memory that is not given away covers them. */
    readonly minToldTokens: number;
}

/** This node's requests in progress at upstreams that need places, by process. */
export const brittleRequests = (gateway: Gateway): readonly RequestsInProgress[] => {
    const { availability: { brittle }, directory } = gateway;
    const needsPlaces = brittle.size > 0 || gateway.settings.hasRunnerPressure;
    const servers = needsPlaces
        ? directory.all().filter(server => brittle.limitOf(server) !== undefined || admitsGenerations(gateway, server.service))
        : [];
    return servers.map(server => {
        const { inFlight, tokensInFlight } = gateway.trafficOf(server.id);
        const kvTokens = gateway.engineOf(server.service)?.kvTokens ?? 0;
        const minToldTokens = brittle.limitOf(server) !== undefined
            ? 0
            : hasKnownRoom(gateway, server, kvTokens)
            ? Number.POSITIVE_INFINITY
            : maxUnaskedShare * kvTokens;
        return { runner: processKey(server), count: inFlight, tokens: tokensInFlight, minToldTokens };
    });
};

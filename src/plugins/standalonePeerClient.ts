import type { TRPCClient } from "@trpc/client";
import { createTRPCClient, httpLink } from "@trpc/client";
import { readFileSync } from "node:fs";
import { Agent } from "undici";
import type { StandaloneNodeSettings } from "../node/standaloneNodeSettings";
import { createBoundedFetch } from "../utils/boundedFetch";
import { createPunctualConnector } from "../utils/punctualConnector";
import type { StandalonePeerRouter } from "./standalonePeerRouter";
import { peerSecretHeader } from "./standalonePeerRouter";

const peerTimeoutMs = 1_500;
const connectTimeoutMs = 500;
/** Maximum size of a peer's answer; the largest are configuration snapshots. */
const maxAnswerBytes = 67_108_864;

/** Path prefix of the API between standalone nodes. */
export const peerPath = "/peer/";

/** Returns the client of the peer at a URL. */
export type PeerLookup = (url: string) => TRPCClient<StandalonePeerRouter>;

/** Creates a lookup of peer clients, which share one connection pool. */
export const createPeerLookup = (cfg: StandaloneNodeSettings): PeerLookup => {
    const ca = cfg.tlsCaFile === undefined ? undefined : readFileSync(cfg.tlsCaFile);
    const dispatcher = new Agent({ connect: createPunctualConnector({ timeout: connectTimeoutMs, ca }), keepAliveTimeout: 10_000 });
    const clients = new Map<string, TRPCClient<StandalonePeerRouter>>();
    const boundedFetch = createBoundedFetch(dispatcher, { maxBytes: maxAnswerBytes, timeoutMs: peerTimeoutMs });
    return url => {
        let client = clients.get(url);
        if (!client) {
            client = createTRPCClient<StandalonePeerRouter>({
                links: [httpLink({ url: `${url}${peerPath.slice(0, -1)}`, headers: { [peerSecretHeader]: cfg.peerSecret }, fetch: boundedFetch })],
            });
            clients.set(url, client);
        }
        return client;
    };
};

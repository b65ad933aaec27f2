import type { TRPCClient } from "@trpc/client";
import { createTRPCClient, httpLink } from "@trpc/client";
import { readFileSync } from "node:fs";
import { Agent, fetch } from "undici";
import type { StandaloneNodeSettings } from "../node/standaloneNodeSettings";
import type { StandalonePeerRouter } from "./standalonePeerRouter";
import { peerSecretHeader } from "./standalonePeerRouter";

const peerTimeoutMs = 1_500;
const connectTimeoutMs = 500;

/** Path under which nodes answer each other. */
export const peerPath = "/peer/";

/** Finds the client of a peer by its URL. */
export type PeerLookup = (url: string) => TRPCClient<StandalonePeerRouter>;

/** Clients of peers that share one pool of connections. */
export const createPeerLookup = (cfg: StandaloneNodeSettings): PeerLookup => {
    const ca = cfg.tlsCaFile === undefined ? undefined : readFileSync(cfg.tlsCaFile);
    const dispatcher = new Agent({ connect: { timeout: connectTimeoutMs, ca }, keepAliveTimeout: 10_000 });
    const clients = new Map<string, TRPCClient<StandalonePeerRouter>>();
    // tRPC is typed for the platform's fetch; the one from undici takes the dispatcher.
    const fetchWithTimeout =
        ((input: string, init: object) =>
            fetch(input, { ...init, dispatcher, signal: AbortSignal.timeout(peerTimeoutMs) })) as unknown as typeof globalThis.fetch;
    return url => {
        let client = clients.get(url);
        if (!client) {
            client = createTRPCClient<StandalonePeerRouter>({
                links: [httpLink({ url: `${url}${peerPath.slice(0, -1)}`, headers: { [peerSecretHeader]: cfg.peerSecret }, fetch: fetchWithTimeout })],
            });
            clients.set(url, client);
        }
        return client;
    };
};

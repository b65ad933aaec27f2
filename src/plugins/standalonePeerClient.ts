import type { TRPCClient } from "@trpc/client";
import { createTRPCClient, httpLink } from "@trpc/client";
import { readFileSync } from "node:fs";
import { Agent, fetch } from "undici";
import type { StandaloneNodeSettings } from "../node/standaloneNodeSettings";
import type { StandalonePeerRouter } from "./standalonePeerRouter";
import { peerSecretHeader } from "./standalonePeerRouter";

const peerTimeoutMs = 1_500;
const connectTimeoutMs = 500;

/** Path prefix of the API between standalone nodes. */
export const peerPath = "/peer/";

/** Returns the client of the peer at a URL. */
export type PeerLookup = (url: string) => TRPCClient<StandalonePeerRouter>;

/** Creates a lookup of peer clients, which share one connection pool. */
export const createPeerLookup = (cfg: StandaloneNodeSettings): PeerLookup => {
    const ca = cfg.tlsCaFile === undefined ? undefined : readFileSync(cfg.tlsCaFile);
    const dispatcher = new Agent({ connect: { timeout: connectTimeoutMs, ca }, keepAliveTimeout: 10_000 });
    const clients = new Map<string, TRPCClient<StandalonePeerRouter>>();
    // tRPC expects the type of the global fetch; undici's fetch is used because it accepts a dispatcher.
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

import { nodeHTTPRequestHandler } from "@trpc/server/adapters/node-http";
import { DigestPublisher } from "../core/digestPublisher";
import { isZoneOrigin } from "../core/digestStore";
import type { NodeContext, NodePlugin } from "../node/context";
import type { DigestPart } from "../types/digest";
import { EventId } from "../types/eventId";
import type { HttpRoute } from "../types/httpExchange";
import type { Vm } from "../types/vm";
import { VmKind } from "../types/vm";
import { emit } from "../utils/events";
import { pick } from "../utils/random";
import { repeat } from "../utils/time";
import type { PeerLookup } from "./standalonePeerClient";
import { peerPath } from "./standalonePeerClient";
import { createStandalonePeerRouter, peerSecretHeader } from "./standalonePeerRouter";

/** Creates the route of the API between standalone nodes. */
export const createPeerRoute = (node: NodeContext): HttpRoute => {
    const router = createStandalonePeerRouter(node);
    return {
        path: peerPath,
        methods: ["GET", "POST"],
        handle: ({ req, res, url }) =>
            nodeHTTPRequestHandler({
                router,
                req,
                res,
                path: url.pathname.slice(peerPath.length),
                maxBodySize: node.cfg.maxBodyBytes,
                createContext: () => {
                    const header = req.headers[peerSecretHeader];
                    return { secret: Array.isArray(header) ? header[0] : header };
                },
            }),
    };
};

/**
 * Exchanges digests with a peer: sends a summary, merges the parts in the answer, then pushes the parts that the peer is missing. Nodes of
 * different zones exchange only the zones' digests.
 */
const exchangeWith = async (node: NodeContext, peerLookup: PeerLookup, peer: Vm, isNear: boolean): Promise<void> => {
    const client = peerLookup(peer.url);
    const originFilter = isNear ? undefined : isZoneOrigin;
    const answer = await client.exchange.mutate({ summary: node.digests.summary(originFilter), isNear });
    node.digests.merge(answer.parts as DigestPart[]);
    const missingParts = node.digests.newerThan(answer.summary, originFilter);
    if (missingParts.length > 0) {
        await client.push.mutate([...missingParts]);
    }
};

const choosePeer = (node: NodeContext, isNear: boolean): Vm | undefined => {
    const others = node.fleet.vmsOf(VmKind.Node).filter(vm => vm.id !== node.cfg.nodeId && (vm.availabilityZone === node.cfg.availabilityZone) === isNear);
    return pick(others, node.random);
};

/** Exchanges the node's digests with peers: frequently within the zone, less often with other zones. */
export const createDigestExchange = (peerLookup: PeerLookup): NodePlugin => ({
    name: "peers",
    start: node => {
        const publisher = DigestPublisher.create(node);
        const exchange = (isNear: boolean) => async (): Promise<void> => {
            publisher.publish();
            const peer = choosePeer(node, isNear);
            if (peer) {
                await exchangeWith(node, peerLookup, peer, isNear);
            }
            node.digests.evictSilentOrigins();
            node.fleet.refresh();
            node.queue.poll();
        };
        const onError = (err: unknown) => emit(EventId.PeerExchangeFailed, { detail: err instanceof Error ? err.message : String(err) });
        // Jitter keeps the exchanges of the nodes from synchronizing.
        const jittered = (ms: number) => () => ms * (0.75 + node.random() / 2);
        void repeat(exchange(true), jittered(node.cfg.peerExchangeMs), node.signal, onError);
        void repeat(exchange(false), jittered(node.cfg.zoneExchangeMs), node.signal, onError);
    },
});

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

/** The route under which a node answers its peers. */
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

/** Exchanges digests with a peer: tells and asks, then sends what the peer turned out to lack. Between zones only their summaries pass. */
const exchangeWith = async (node: NodeContext, peers: PeerLookup, peer: Vm, isNear: boolean): Promise<void> => {
    const client = peers(peer.url);
    const accepts = isNear ? undefined : isZoneOrigin;
    const answer = await client.exchange.mutate({ summary: node.digests.summary(accepts), isNear });
    node.digests.merge(answer.parts as DigestPart[]);
    const lacking = node.digests.newerThan(answer.summary, accepts);
    if (lacking.length > 0) {
        await client.push.mutate([...lacking]);
    }
};

const choosePeer = (node: NodeContext, isNear: boolean): Vm | undefined => {
    const others = node.fleet.vmsOf(VmKind.Node).filter(vm => vm.id !== node.cfg.nodeId && (vm.availabilityZone === node.cfg.availabilityZone) === isNear);
    return pick(others, node.random);
};

/** Keeps the node's digests in step with its peers: often inside the zone, seldom beyond it. */
export const createDigestExchange = (peers: PeerLookup): NodePlugin => ({
    name: "peers",
    start: node => {
        const publisher = DigestPublisher.create(node);
        const exchange = (isNear: boolean) => async (): Promise<void> => {
            publisher.publish();
            const peer = choosePeer(node, isNear);
            if (peer) {
                await exchangeWith(node, peers, peer, isNear);
            }
            node.digests.evictSilentOrigins();
            node.fleet.refresh();
            node.queue.poll();
        };
        const onError = (err: unknown) => emit(EventId.PeerExchangeFailed, { detail: err instanceof Error ? err.message : String(err) });
        // Jitter keeps the nodes from moving in step.
        const jittered = (ms: number) => () => ms * (0.75 + node.random() / 2);
        void repeat(exchange(true), jittered(node.cfg.peerExchangeMs), node.signal, onError);
        void repeat(exchange(false), jittered(node.cfg.zoneExchangeMs), node.signal, onError);
    },
});

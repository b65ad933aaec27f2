import { nodeHTTPRequestHandler } from "@trpc/server/adapters/node-http";
import { loadPart, statePart } from "../core/fleet";
import type { NodeContext, NodePlugin } from "../node/context";
import { NodeStage } from "../node/context";
import type { DigestPart } from "../types/digest";
import { EventId } from "../types/eventId";
import type { Route } from "../types/exchange";
import type { NodeLoad, NodeState } from "../types/nodeDigest";
import type { Vm } from "../types/vm";
import { VmKind } from "../types/vm";
import { emit } from "../utils/events";
import { pick } from "../utils/random";
import { repeat } from "../utils/time";
import type { PeerOf } from "./peerClient";
import { peerPath } from "./peerClient";
import { createPeerRouter, peerSecretHeader } from "./peerRouter";

/** Demand is told seldom: it decides placements, not routes. */
const demandIntervalMs = 5_000;

/** The route under which a node answers its peers. */
export const createPeerRoute = (node: NodeContext): Route => {
    const router = createPeerRouter(node);
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

/** Publishes what this node tells its peers, where it has changed. */
export const createPublisher = (node: NodeContext): () => void => {
    let lastState = "";
    let lastLoad = "";
    let demand: Readonly<Record<string, number>> = {};
    let demandAt = -Infinity;
    return () => {
        const { cfg } = node;
        const state: NodeState = {
            id: cfg.nodeId,
            incarnation: node.incarnation,
            availabilityZone: cfg.availabilityZone,
            url: cfg.advertiseUrl,
            stopping: node.stage === NodeStage.Stopping,
            configSequence: node.config.sequence,
            drains: node.drains,
            leaving: node.fleet.leavingSeen,
        };
        // A request that waits for a copy makes its demand known at once.
        if (node.queue.length > 0 || performance.now() - demandAt >= demandIntervalMs) {
            demand = node.demand.rates();
            demandAt = performance.now();
        }
        const load: NodeLoad = { reports: Object.fromEntries(node.reports), demand };
        const stateText = JSON.stringify(state);
        const loadText = JSON.stringify(load);
        if (stateText !== lastState) {
            node.digests.publish(statePart, state);
            lastState = stateText;
        }
        if (loadText !== lastLoad) {
            node.digests.publish(loadPart, load);
            lastLoad = loadText;
        }
    };
};

/** Exchanges digests with a random peer: tells and asks, then sends what the peer turned out to lack. */
const exchangeWith = async (node: NodeContext, peers: PeerOf, peer: Vm): Promise<void> => {
    const client = peers(peer.url);
    const message = node.digests.message();
    const answer = await client.exchange.mutate({ ...message, parts: [], availabilityZone: node.cfg.availabilityZone });
    node.digests.merge(answer.parts as DigestPart[]);
    const lacking = node.digests.newerThan(answer.summary);
    if (lacking.length > 0) {
        await client.push.mutate({ parts: [...lacking] });
    }
};

const choosePeer = (node: NodeContext, isNear: boolean): Vm | undefined => {
    const others = node.fleet.vmsOf(VmKind.Node).filter(vm => vm.id !== node.cfg.nodeId && (vm.availabilityZone === node.cfg.availabilityZone) === isNear);
    return pick(others, node.random);
};

/** Keeps the node's digests in step with its peers: often inside the zone, seldom beyond it. */
export const createPeersPlugin = (peers: PeerOf): NodePlugin => ({
    name: "peers",
    start: node => {
        const publish = createPublisher(node);
        const exchange = (isNear: boolean) => async (): Promise<void> => {
            publish();
            const peer = choosePeer(node, isNear);
            if (peer) {
                await exchangeWith(node, peers, peer);
            }
            node.digests.forget();
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

import { MonitoredStore } from "../../src/core/monitoredStore";
import { TableFollower } from "../../src/core/tableFollower";
import { Gateway } from "../../src/forward/gateway";
import { createDirectoryObserver } from "../../src/forward/storeObservers";
import { applyDirectory, serveDirectory } from "../../src/placement/directoryExchange";
import { decodeServer } from "../../src/platform/directoryDecoder";
import { requestHeaderCodec } from "../../src/platform/requestHeaderCodec";
import type { PeerNode } from "../../src/types/peerNode";
import type { Random } from "../../src/utils/random";
import { createRandom } from "../../src/utils/random";
import { delayFeed } from "./delayFeed";
import { platformTestSettings } from "./gatewayHarness";
import { MemoryPlatformStore } from "./memoryPlatformStore";
import { reportTargetOf } from "./reportTarget";

const table = "servers";
const reportIntervalMs = 400;
/** Time in which a report reaches its peer, and its answer the node. */
const linkDelayMs = 5;
const feedDelayMs = 50;
const zones = ["a", "b", "c"];

/** A node without a network: its directory, and whether it reads the store. */
interface DirectoryNode {
    readonly peer: PeerNode;
    gateway: Gateway;
    isReachable: boolean;
    follower: AbortController | undefined;
}

/** Nodes of which one, the controller, reads the store; the others learn the directory from it and from relays, in simulated time. */
export class DirectoryNetwork {
    readonly store: MemoryPlatformStore;
    readonly nodes: readonly DirectoryNode[];
    /** Whether the controller, the first node, answers. */
    hasController = true;

    private constructor(count: number, private readonly random: Random) {
        this.store = MemoryPlatformStore.create(random);
        this.store.lossShare = 0;
        this.nodes = [...Array(count).keys()].map(index => ({
            peer: { address: `n${index}`, zone: zones[index % zones.length]!, cores: 1 },
            gateway: this.createGateway(),
            isReachable: true,
            follower: undefined,
        }));
    }

    /** Starts the nodes, which report from now on. */
    static create(count: number): DirectoryNetwork {
        const network = new DirectoryNetwork(count, createRandom(count));
        network.follow(network.nodes[0]!);
        network.nodes.forEach(node => setTimeout(() => network.reportAgain(node), reportIntervalMs * network.random()));
        return network;
    }

    /** Writes an upstream's row, or deletes it. */
    put(id: string, row: object | undefined): void {
        const value = row && Buffer.from(JSON.stringify({ service: "desk", addr: "10.0.0.1:1", zone: "a", slots: 4, state: "ready", born: 5, ...row }));
        this.store.put({ table, part: "", key: id }, value);
    }

    /** Ends a node's process: what it knew is lost, and what was under way to it is not answered. */
    kill(node: DirectoryNode): void {
        node.isReachable = false;
        node.follower?.abort();
        node.gateway = this.createGateway();
    }

    /** Restarts a node, which then knows nothing: it reports to a peer at once, before it has read the store. */
    restart(node: DirectoryNode): void {
        node.isReachable = true;
        node.gateway = this.createGateway();
        this.report(node);
        if (node.follower) {
            node.follower.abort();
            this.follow(node);
        }
    }

    /** Lets a node read the store from now on. */
    follow(node: DirectoryNode): void {
        const { store } = this;
        node.follower = new AbortController();
        const { gateway } = node;
        void TableFollower.create(MonitoredStore.create(delayFeed(store, feedDelayMs)), table, createDirectoryObserver(gateway, decodeServer), this.random, {
            pauseMs: () => 0,
            waitMs: () => feedDelayMs,
            maxRetryDelayMs: () => 150,
            knownVersion: () => gateway.directory.version,
        }).run(node.follower.signal);
    }

    private createGateway(): Gateway {
        return Gateway.create(platformTestSettings, requestHeaderCodec, this.random);
    }

    private reportAgain(node: DirectoryNode): void {
        this.report(node);
        setTimeout(() => this.reportAgain(node), reportIntervalMs);
    }

    private report(node: DirectoryNode): void {
        const target = reportTargetOf(node, this.nodes, this.hasController, this.random);
        if (!target || target === node || !node.isReachable || !target.isReachable) {
            return;
        }
        const { directory } = node.gateway;
        const { version } = directory;
        setTimeout(() => {
            const answer = serveDirectory(target.gateway.directory, version);
            setTimeout(() => applyDirectory(directory, structuredClone(answer)), linkDelayMs);
        }, linkDelayMs);
    }
}

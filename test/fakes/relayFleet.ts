import { CallerServer } from "../../src/forward/callerServer";
import { RelayIntake } from "../../src/forward/relayIntake";
import { ContactState } from "../../src/types/contactState";
import type { CustomerSpec } from "../../src/types/customer";
import type { EventId } from "../../src/types/eventId";
import type { ServiceRoute } from "../../src/types/servingConfig";
import { RouteKind } from "../../src/types/servingConfig";
import { UpstreamState } from "../../src/types/upstreamServer";
import { observeEvents, setupLogs } from "../../src/utils/events";
import { createRandom } from "../../src/utils/random";
import { MemoryPlatformStore } from "./memoryPlatformStore";
import { createNode } from "./peerNodes";
import { reservePort } from "./ports";
import type { Script, ScriptedUpstream } from "./scriptedUpstream";
import { startScriptedUpstream } from "./scriptedUpstream";
import { neverAnswer } from "./upstreamScripts";

/** What the tests set of a fleet. */
export interface RelayFleetOptions {
    readonly nodes?: number;
    /** Scripts of the upstreams as the peers reach them. */
    readonly scripts: readonly Script[];
    /** Software versions of the upstreams. */
    readonly versions?: readonly string[];
    readonly route?: Partial<ServiceRoute>;
    readonly customers?: readonly CustomerSpec[];
    /** Whether the first node reaches the upstreams as well. */
    readonly isOriginHeld?: boolean;
    /** What the first node, which is cut off, gets from the first upstream instead. */
    readonly cutScript?: Script;
    /** Largest body of a request. */
    readonly maxBodyBytes?: number;
    /** Whether nodes record the versions that begin streams. */
    readonly recordsStreams?: boolean;
}

const baseRoute: ServiceRoute = {
    name: "r",
    host: "shop.example",
    prefix: "/desk/",
    kind: RouteKind.NonIdempotent,
    timeoutMs: 2_000,
    latencyObjectiveMs: 300,
    priority: 1,
    targets: [{ service: "desk", weight: 1 }],
    maxAttempts: 3,
    isResumable: false,
};

const startNode = async (
    store: MemoryPlatformStore,
    name: string,
    signal: AbortSignal,
    { route = {}, customers, maxBodyBytes = 400_000, recordsStreams }: Pick<RelayFleetOptions, "route" | "customers" | "maxBodyBytes" | "recordsStreams">,
) => {
    const node = await createNode(store, name, [], signal, undefined, { recordsStreams });
    const { gateway, peerServer } = node;
    const applyConfig = (version: number): void =>
        void gateway.applyConfig({
            version,
            routes: [{ ...baseRoute, ...route }],
            services: new Map([["desk", { name: "desk", healthPath: "/healthz", maxConnections: 100 }]]),
            customers,
            limits: { maxHeaderBytes: 4_096, maxBodyBytes, headerTimeoutMs: 3_000, idleTimeoutMs: 5_000 },
        }, Buffer.from(""));
    applyConfig(1);
    const server = CallerServer.create(gateway);
    peerServer.relayIntake = RelayIntake.create(gateway, server.reception);
    const address = `127.0.0.1:${await reservePort()}`;
    await server.listen(address);
    server.applyLimits();
    const setContact = (state: ContactState): void => void Object.defineProperty(gateway.contact, "state", { configurable: true, get: () => state });
    const stop = (exitInMs: number): void => {
        gateway.isStopping = true;
        gateway.stopRequestedAt = performance.now();
        gateway.exitDeadlineAt = gateway.stopRequestedAt + exitInMs;
    };
    const close = (): void => {
        void server.close(0);
        peerServer.close();
    };
    return { ...node, server, address, applyConfig, setContact, stop, close };
};

/** A node of a fleet whose nodes pass requests on. */
export type RelayNode = Awaited<ReturnType<typeof startNode>>;

/** Nodes in this process that know each other; the first one is cut off from the upstreams. */
export class RelayFleet {
    readonly nodes: RelayNode[] = [];
    readonly upstreams: ScriptedUpstream[] = [];
    private readonly scriptedPeers: ScriptedUpstream[] = [];
    private readonly abort = new AbortController();

    private constructor(readonly cutUpstream: ScriptedUpstream) {}

    static async create(
        { nodes = 2, scripts, versions = [], route, cutScript = neverAnswer, customers, isOriginHeld = false, maxBodyBytes, recordsStreams }: RelayFleetOptions,
    ): Promise<RelayFleet> {
        const fleet = new RelayFleet(await startScriptedUpstream(cutScript));
        const store = MemoryPlatformStore.create(createRandom(1));
        store.lossShare = 0;
        fleet.upstreams.push(...await Promise.all(scripts.map(script => startScriptedUpstream(script))));
        for (let index = 0; index < nodes; index++) {
            fleet.nodes.push(await startNode(store, `n${index}`, fleet.abort.signal, { route, customers, maxBodyBytes, recordsStreams }));
        }
        const peers = fleet.nodes.map(({ peerAddress: address }) => ({ address, zone: "a", cores: 1 }));
        fleet.nodes.forEach((node, index) => {
            node.gateway.peers.setPeers(peers);
            fleet.listUpstreams(node, index === 0 && !isOriginHeld, versions);
        });
        fleet.origin.setContact(isOriginHeld ? ContactState.Held : ContactState.Lost);
        return fleet;
    }

    /** Makes all nodes find the first upstream at another address. */
    moveFirstUpstream(address: string): void {
        this.nodes.forEach(({ gateway }) => {
            const server = gateway.directory.get("up-0")!;
            gateway.directory.apply({ id: "up-0", version: 1_000, server: { ...server, address } });
        });
    }

    /** The node that is cut off. */
    get origin(): RelayNode {
        return this.nodes[0]!;
    }

    get peers(): readonly RelayNode[] {
        return this.nodes.slice(1);
    }

    /** Requests that upstreams received from nodes that reach them. */
    get received(): ScriptedUpstream["received"] {
        return this.upstreams.flatMap(({ received }) => received);
    }

    /** Starts a peer that answers with raw bytes; the first node knows it, and no other one, until it is told of others. */
    async addScriptedPeer(script: Script): Promise<ScriptedUpstream> {
        const peer = await startScriptedUpstream(script);
        this.scriptedPeers.push(peer);
        this.origin.gateway.peers.setPeers([{ address: peer.address, zone: "a", cores: 1 }]);
        return peer;
    }

    close(): void {
        this.abort.abort();
        [this.cutUpstream, ...this.upstreams, ...this.scriptedPeers].forEach(upstream => upstream.close());
        this.nodes.forEach(node => node.close());
    }

    private listUpstreams({ gateway }: RelayNode, isCut: boolean, versions: readonly string[]): void {
        this.upstreams.forEach(({ address }, index) => {
            const id = `up-${index}`;
            const server = {
                id,
                service: "desk",
                address: isCut ? this.cutUpstream.address : address,
                availabilityZone: "a",
                softwareVersion: versions[index],
                slots: 8,
                state: UpstreamState.Ready,
                models: [{ name: "m", version: 1, adapters: [] }],
                inMemory: [],
                onDisk: [],
                bornAt: 1,
                acceptedOrders: 0,
            };
            gateway.directory.apply({ id, version: index + 1, server });
            gateway.trafficOf(id).onFirstByte(20 + 20 * index);
        });
    }
}

/** An event that was logged while a fleet ran. */
export interface LoggedEvent {
    readonly event: EventId;
    readonly fields: Readonly<Record<string, unknown>>;
}

/** Runs a test on a fleet, with the events that all of its nodes log meanwhile. */
export const withFleet = async (options: RelayFleetOptions, run: (fleet: RelayFleet, events: readonly LoggedEvent[]) => Promise<void>): Promise<void> => {
    setupLogs("error");
    const fleet = await RelayFleet.create(options);
    const events: LoggedEvent[] = [];
    const stopObserving = observeEvents((event, fields) => events.push({ event, fields }));
    try {
        await run(fleet, events);
    }
    finally {
        stopObserving();
        fleet.close();
    }
};

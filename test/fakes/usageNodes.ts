import { CallerServer } from "../../src/forward/callerServer";
import type { CustomerSpec, UsageLimit } from "../../src/types/customer";
import { RouteKind } from "../../src/types/servingConfig";
import { UpstreamState } from "../../src/types/upstreamServer";
import { ownerOf } from "../../src/utils/hash";
import { createRandom } from "../../src/utils/random";
import { sleep } from "../../src/utils/time";
import type { CallerResult } from "./gatewayHarness";
import { callGateway } from "./gatewayHarness";
import { MemoryPlatformStore } from "./memoryPlatformStore";
import { createNode } from "./peerNodes";
import { reservePort } from "./ports";
import { waitFor } from "./processes";
import type { ScriptedUpstream } from "./scriptedUpstream";
import { startScriptedUpstream } from "./scriptedUpstream";
import { answer } from "./upstreamScripts";

const zones = ["a", "b", "c"];
export const customer = "acme";
const key = "k-acme";
const msPerSecond = 1_000;

type UsageNode = Awaited<ReturnType<typeof createNode>> & { readonly address: string; readonly server: CallerServer; };

/** Nodes of this process, which exchange real messages, in front of one upstream and with one customer. */
export class UsageNodes {
    readonly nodes: UsageNode[] = [];
    /** When the upstream received requests. */
    readonly ranAt: number[] = [];
    private readonly abort = new AbortController();
    private sequence = 0;

    private constructor(private readonly upstream: ScriptedUpstream) {}

    /** Starts nodes; the first one is the controller. Resolves once all nodes know each other. */
    static async create(nodeCount: number, limit: UsageLimit): Promise<UsageNodes> {
        const upstream = await startScriptedUpstream((...args) => {
            fleet.ranAt.push(performance.now());
            answer(...args);
        });
        const fleet = new UsageNodes(upstream);
        const store = MemoryPlatformStore.create(createRandom(1));
        store.lossShare = 0;
        for (let index = 0; index < nodeCount; index++) {
            await fleet.add(store, index, [{ name: customer, apiKeys: [key], limit }]);
        }
        await waitFor("a list of all nodes", () => fleet.nodes.every(({ link }) => link.peers.length === nodeCount));
        return fleet;
    }

    get home(): UsageNode {
        const address = ownerOf(customer, this.nodes.map(({ peerAddress }) => peerAddress).sort());
        return this.nodes.find(({ peerAddress }) => peerAddress === address)!;
    }

    /** Sends one request to a node. */
    call(node: UsageNode): Promise<CallerResult> {
        return callGateway(node.address, { headers: { "x-api-key": key, "attempt-id": `id-${++this.sequence}` } });
    }

    /** Sends requests for a time, to some nodes in turn. */
    async runLoad(perSecond: number, ms: number, nodes = this.nodes): Promise<readonly CallerResult[]> {
        const startedAt = performance.now();
        const calls: Promise<CallerResult>[] = [];
        while (performance.now() < startedAt + ms) {
            while (calls.length < perSecond * (performance.now() - startedAt) / msPerSecond) {
                calls.push(this.call(nodes[calls.length % nodes.length]!));
            }
            await sleep(5);
        }
        return Promise.all(calls);
    }

    /** Largest number of requests that the upstream received in a window. */
    mostInWindow(windowMs: number): number {
        return Math.max(0, ...this.ranAt.map(from => this.ranAt.filter(at => at >= from && at < from + windowMs).length));
    }

    close(): void {
        this.abort.abort();
        this.upstream.close();
        this.nodes.forEach(({ server, peerServer }) => {
            void server.close(0);
            peerServer.close();
        });
    }

    private async add(store: MemoryPlatformStore, index: number, customers: readonly CustomerSpec[]): Promise<void> {
        const seeds = this.nodes.slice(0, 1).map(({ peerAddress }) => peerAddress);
        const node = await createNode(store, `n${index}`, seeds, this.abort.signal, zones[index % zones.length]!);
        const { gateway, client, lease, start } = node;
        gateway.placement = client;
        const targets = [{ service: "desk", weight: 1 }];
        const route = { name: "r", host: "shop.example", prefix: "/desk/", kind: RouteKind.Idempotent, timeoutMs: 3_000, latencyObjectiveMs: 500, priority: 1 };
        gateway.applyConfig({
            version: 1,
            routes: [{ ...route, targets, maxAttempts: 1, isResumable: false }],
            services: new Map([["desk", { name: "desk", healthPath: "/healthz", maxConnections: 1_000 }]]),
            limits: { maxHeaderBytes: 4_096, maxBodyBytes: 10_000, headerTimeoutMs: 3_000, idleTimeoutMs: 5_000 },
            customers,
        }, Buffer.from(""));
        const entry = { slots: 64, state: UpstreamState.Ready, models: [], inMemory: [], onDisk: [], bornAt: 1, acceptedOrders: 0 };
        const server = { id: "up", service: "desk", address: this.upstream.address, availabilityZone: "a", ...entry };
        gateway.directory.apply({ id: "up", version: 1, server });
        const callerServer = CallerServer.create(gateway);
        const address = `127.0.0.1:${await reservePort()}`;
        await callerServer.listen(address);
        callerServer.applyLimits();
        await lease.tick();
        start();
        this.nodes.push({ ...node, address, server: callerServer });
    }
}

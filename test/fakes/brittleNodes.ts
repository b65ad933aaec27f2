import { CallerServer } from "../../src/forward/callerServer";
import { ContactMonitor } from "../../src/forward/contactMonitor";
import { RelayIntake } from "../../src/forward/relayIntake";
import { askUpstream } from "../../src/platform/upstreamQuestion";
import type { ServiceRoute } from "../../src/types/servingConfig";
import { RouteKind } from "../../src/types/servingConfig";
import { UpstreamState } from "../../src/types/upstreamServer";
import { createRandom } from "../../src/utils/random";
import { sleep } from "../../src/utils/time";
import type { BrittleFall, BrittleTime } from "./brittleJudge";
import type { BrittleUpstreamOptions } from "./brittleUpstream";
import { BrittleUpstream } from "./brittleUpstream";
import { MemoryPlatformStore } from "./memoryPlatformStore";
import { createMixedRandom } from "./mixedRandom";
import { createNode } from "./peerNodes";
import { reservePort } from "./ports";
import type { SteadyCall } from "./steadyCallers";
import { runSteadyLoad } from "./steadyCallers";

const service = "desk";
const deadlineMs = 2_000;
const rowLapseMs = 700;
const seedCount = 3;

const idempotentRoute: ServiceRoute = {
    name: "idempotent",
    host: "shop.example",
    prefix: "/idempotent/",
    kind: RouteKind.Idempotent,
    timeoutMs: 4_000,
    latencyObjectiveMs: 1_000,
    priority: 1,
    targets: [{ service, weight: 1 }],
    maxAttempts: 2,
    isResumable: false,
};
const routes: readonly ServiceRoute[] = [
    idempotentRoute,
    { ...idempotentRoute, name: "non_idempotent", prefix: "/non_idempotent/", kind: RouteKind.NonIdempotent },
];

type BrittleNode = Awaited<ReturnType<typeof createNode>> & { readonly address: string; readonly server: CallerServer; };

/** Nodes of this process that report to each other, in front of a busy service whose upstreams can be brittle. */
export class BrittleNodes {
    readonly falls: BrittleFall[] = [];
    readonly upstreams: BrittleUpstream[] = [];
    private readonly nodes: BrittleNode[] = [];
    private readonly abort = new AbortController();
    private readonly store = MemoryPlatformStore.create(createRandom(1));
    private rowVersion = 0;

    private constructor(private readonly upstreamOptions: Omit<BrittleUpstreamOptions, "service" | "random" | "onBorn" | "onFallen">) {
        this.store.lossShare = 0;
    }

    /** Starts nodes and upstreams; the first node is the controller. */
    static async create(
        nodeCount: number,
        upstreamCount: number,
        upstreamOptions: Omit<BrittleUpstreamOptions, "service" | "random" | "onBorn" | "onFallen">,
    ): Promise<BrittleNodes> {
        const fleet = new BrittleNodes(upstreamOptions);
        for (let index = 0; index < nodeCount; index++) {
            await fleet.addNode(`n${index}`);
        }
        for (let index = 0; index < upstreamCount; index++) {
            const random = createMixedRandom(index);
            const onBorn = (upstream: BrittleUpstream): void => fleet.applyRow(upstream, true);
            const onFallen = (upstream: BrittleUpstream, fall: BrittleFall): void => {
                fleet.falls.push(fall);
                const { id, address, bornAt } = upstream;
                setTimeout(() => fleet.applyRow({ id, address, bornAt }, false), rowLapseMs).unref();
            };
            fleet.upstreams.push(await BrittleUpstream.create(`u${index}`, { ...upstreamOptions, service, random, onBorn, onFallen }));
        }
        return fleet;
    }

    /** Requests that the slots of all upstreams bear in a second. */
    get capacityPerS(): number {
        const { slots, meanWorkMs } = this.upstreamOptions;
        return this.upstreams.length * slots * 1_000 / meanWorkMs;
    }

    /** Sends requests to all nodes alike until the signal aborts. */
    async runCallers(perSecond: number, seed: number, signal: AbortSignal): Promise<readonly SteadyCall[]> {
        const calls = await Promise.all(this.nodes.map(({ address }, index) =>
            runSteadyLoad({
                front: address,
                name: `s${seed}-c${index}`,
                perSecond: perSecond / this.nodes.length,
                paths: routes.map(({ prefix }) => `${prefix}x`),
                deadlineMs,
                random: createMixedRandom(seed * 1_000 + index),
                signal,
            })
        ));
        return calls.flat();
    }

    /** Lets all upstreams be brittle for a time. */
    async beBrittle(allowedPerS: number, ms: number): Promise<BrittleTime> {
        const from = performance.now();
        this.upstreams.forEach(upstream => upstream.setBrittle(allowedPerS));
        await sleep(ms);
        this.upstreams.forEach(upstream => upstream.setBrittle(undefined));
        return { service, from, to: performance.now(), upstreams: this.upstreams.length };
    }

    close(): void {
        this.abort.abort();
        this.upstreams.forEach(upstream => upstream.close());
        this.nodes.forEach(({ server, peerServer }) => {
            void server.close(0);
            peerServer.close();
        });
    }

    private async addNode(name: string): Promise<void> {
        const node = await createNode(this.store, name, this.nodes.slice(0, seedCount).map(({ peerAddress }) => peerAddress), this.abort.signal);
        node.gateway.contactMonitor = ContactMonitor.create(node.gateway, askUpstream);
        node.gateway.contactMonitor.start(this.abort.signal);
        node.gateway.applyConfig({
            version: 1,
            routes,
            services: new Map([[service, { name: service, healthPath: "/h", maxConnections: 500 }]]),
            limits: { maxHeaderBytes: 4_096, maxBodyBytes: 10_000, headerTimeoutMs: 3_000, idleTimeoutMs: 5_000 },
        }, Buffer.from(""));
        const server = CallerServer.create(node.gateway);
        const address = `127.0.0.1:${await reservePort()}`;
        node.peerServer.relayIntake = RelayIntake.create(node.gateway, server.reception);
        await server.listen(address);
        await node.lease.tick();
        node.start();
        this.nodes.push({ ...node, address, server });
    }

    private applyRow({ id, address, bornAt }: Pick<BrittleUpstream, "id" | "address" | "bornAt">, isListed: boolean): void {
        const { slots } = this.upstreamOptions;
        const entry = {
            availabilityZone: "a",
            softwareVersion: undefined,
            state: UpstreamState.Ready,
            models: [],
            inMemory: [],
            onDisk: [],
            acceptedOrders: 0,
        };
        const server = isListed ? { ...entry, id, service, address, slots, bornAt } : undefined;
        const change = { id, version: ++this.rowVersion, server };
        this.nodes.forEach(({ gateway }) => gateway.directory.apply(change));
    }
}

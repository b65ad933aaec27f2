import { CallerServer } from "../../src/forward/callerServer";
import { ContactMonitor } from "../../src/forward/contactMonitor";
import { UpstreamProber } from "../../src/forward/upstreamProber";
import { defaultTransportLimits } from "../../src/node/transportLimitSettings";
import { RunnerClient } from "../../src/platform/runnerClient";
import { askUpstream } from "../../src/platform/upstreamQuestion";
import { RouteKind } from "../../src/types/servingConfig";
import { createRandom } from "../../src/utils/random";
import type { CallerResult } from "./gatewayHarness";
import { callGateway } from "./gatewayHarness";
import { MemoryPlatformStore } from "./memoryPlatformStore";
import { createNode } from "./peerNodes";
import { reservePort } from "./ports";
import type { RunnerRequest, TroubledRunnerOptions } from "./troubledRunner";
import { TroubledRunner } from "./troubledRunner";

const route = {
    name: "r",
    host: "shop.example",
    prefix: "/desk/",
    kind: RouteKind.Streaming,
    timeoutMs: 2_000,
    latencyObjectiveMs: 300,
    priority: 1,
    targets: [{ service: "desk", weight: 1 }],
    maxAttempts: 2,
    isResumable: true,
};

const counterRoute = {
    ...route,
    name: "c",
    prefix: "/counter/",
    kind: RouteKind.Idempotent,
    targets: [{ service: "counter", weight: 1 }],
    isResumable: false,
};
const bookingRoute = { ...counterRoute, name: "b", prefix: "/booking/", kind: RouteKind.NonIdempotent };

const startNode = async (store: MemoryPlatformStore, name: string, seeds: readonly string[], signal: AbortSignal) => {
    const node = await createNode(store, name, seeds, signal);
    node.gateway.prober = UpstreamProber.create(RunnerClient.create(defaultTransportLimits));
    node.gateway.contactMonitor = ContactMonitor.create(node.gateway, askUpstream);
    node.gateway.contactMonitor.start(signal);
    node.gateway.applyConfig({
        version: 1,
        routes: [route, counterRoute, bookingRoute],
        services: new Map(["desk", "counter"].map(service => [service, { name: service, healthPath: "/healthz", maxConnections: 100 }])),
        limits: { maxHeaderBytes: 4_096, maxBodyBytes: 10_000, headerTimeoutMs: 3_000, idleTimeoutMs: 5_000 },
    }, Buffer.from(""));
    const server = CallerServer.create(node.gateway);
    const address = `127.0.0.1:${await reservePort()}`;
    await server.listen(address);
    const close = (): void => {
        void server.close(0);
        node.peerServer.close();
    };
    return { ...node, address, close };
};

/** A node of a serving fleet. */
export type ServingNode = Awaited<ReturnType<typeof startNode>>;

/** Nodes with callers' servers and peers in this process, in front of runners that crash on parts of a prompt. */
export class ServingFleet {
    readonly nodes: ServingNode[] = [];
    readonly runners: TroubledRunner[] = [];
    private readonly abort = new AbortController();
    private readonly store = MemoryPlatformStore.create(createRandom(1));
    private rowVersion = 0;
    private sequence = 0;

    private constructor() {}

    /** Starts nodes and runners; the first node is the controller. */
    static async create(nodeCount: number, runnerCount: number, options: Omit<TroubledRunnerOptions, "onRestart">): Promise<ServingFleet> {
        const fleet = new ServingFleet();
        fleet.store.lossShare = 0;
        for (let index = 0; index < nodeCount; index++) {
            await fleet.addNode(`n${index}`);
        }
        for (let index = 0; index < runnerCount; index++) {
            const onRestart = (previousId: string, runner: TroubledRunner): void => fleet.applyRow(runner, previousId);
            const runner = await TroubledRunner.create(`u${index}`, { ...options, onRestart });
            fleet.runners.push(runner);
            fleet.applyRow(runner);
        }
        return fleet;
    }

    /** Starts a node that takes part at once. */
    async addNode(name: string): Promise<ServingNode> {
        const node = await startNode(this.store, name, this.nodes.slice(0, 3).map(({ peerAddress }) => peerAddress), this.abort.signal);
        await node.lease.tick();
        node.start();
        this.runners.forEach(runner => node.gateway.directory.apply({ id: runner.id, version: ++this.rowVersion, server: runner.entry }));
        this.nodes.push(node);
        return node;
    }

    /** Sends a request with the given shared parts and a last part of its own to a node. */
    call(node: ServingNode, sharedParts: readonly string[], body = ""): Promise<CallerResult> {
        const id = `id-${++this.sequence}`;
        const prefix = [...sharedParts, `own${this.sequence}`].map(part => `${part}:50`).join(",");
        const headers = { "attempt-id": id, model: "m", "token-count": "150,40", "prompt-prefix": prefix };
        return callGateway(node.address, { headers, body });
    }

    /** Sends a request without a model to a node. */
    callPlain(node: ServingNode, path: string, body: string): Promise<CallerResult> {
        return callGateway(node.address, { path, body, headers: { "attempt-id": `id-${++this.sequence}` } });
    }

    /** Times of all crashes caused by a part or a body, in order. */
    crashTimes(part: string): readonly number[] {
        return this.runners.flatMap(({ crashes }) => crashes.filter(crash => crash.part === part).map(({ at }) => at)).sort((a, b) => a - b);
    }

    /** Requests with a part or a body that reached runners after a time. */
    receivedAfter(partOrBody: string, at: number): number {
        const isMeant = ({ parts, body }: RunnerRequest): boolean => parts.includes(partOrBody) || body === partOrBody;
        return this.runners.flatMap(({ received }) => received).filter(req => req.at > at && isMeant(req)).length;
    }

    close(): void {
        this.abort.abort();
        this.nodes.forEach(node => node.close());
        this.runners.forEach(runner => runner.close());
    }

    private applyRow(runner: TroubledRunner, previousId?: string): void {
        for (const { gateway: { directory } } of this.nodes) {
            if (previousId !== undefined) {
                directory.apply({ id: previousId, version: ++this.rowVersion, server: undefined });
            }
            directory.apply({ id: runner.id, version: ++this.rowVersion, server: runner.entry });
        }
    }
}

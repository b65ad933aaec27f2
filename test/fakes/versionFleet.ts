import { CallerServer } from "../../src/forward/callerServer";
import { Gateway } from "../../src/forward/gateway";
import { requestHeaderCodec } from "../../src/platform/requestHeaderCodec";
import { RouteKind } from "../../src/types/servingConfig";
import type { UpstreamServer } from "../../src/types/upstreamServer";
import { UpstreamState } from "../../src/types/upstreamServer";
import { createRandom } from "../../src/utils/random";
import { sleep } from "../../src/utils/time";
import type { CallerResult } from "./gatewayHarness";
import { callGateway, platformTestSettings } from "./gatewayHarness";
import { MemoryPlatformStore } from "./memoryPlatformStore";
import { reservePort } from "./ports";
import type { Script, ScriptedUpstream } from "./scriptedUpstream";
import { chunkOf, lastChunk, startScriptedUpstream, streamHeadOf } from "./scriptedUpstream";

const lastEvent = 40;
const eventIntervalMs = 15;
/** Events after which the callers of `beginStreams` leave. */
const callerLeavesAfterEvents = 5;
const service = "desk";

const route = {
    name: "r",
    host: "shop.example",
    prefix: "/desk/",
    kind: RouteKind.Streaming,
    timeoutMs: 5_000,
    latencyObjectiveMs: 300,
    priority: 1,
    targets: [{ service, weight: 1 }],
    maxAttempts: 2,
    isResumable: true,
};

/** A stream whose events name the software version that wrote them, from the event after the last one received. */
export const versionedStream = (version: string): Script => (socket, { head, id }) => {
    const from = Number(/^last-event-id: (\d+)$/im.exec(head)?.[1] ?? 0) + 1;
    socket.write(streamHeadOf(id));
    const write = async (): Promise<void> => {
        for (let event = from; event <= lastEvent && !socket.destroyed; event++) {
            socket.write(chunkOf(`id: ${event}\ndata: ${version}\n\n`));
            await sleep(eventIntervalMs);
        }
        socket.write(lastChunk);
    };
    void write();
};

/** A node's server for callers. */
export interface FleetNode {
    readonly name: string;
    readonly gateway: Gateway;
    readonly address: string;
    readonly server: CallerServer;
}

/** A runner in the fleet. */
interface FleetRunner {
    readonly upstream: ScriptedUpstream;
    readonly entry: UpstreamServer;
}

/** A caller's stream: what it received, over all its requests. */
export interface TakenUpStream {
    /** Status of the request that took the stream up. */
    readonly status: number | undefined;
    /** Software versions that wrote its events. */
    readonly versions: ReadonlySet<string>;
    readonly isComplete: boolean;
    readonly afterMs: number;
}

/** Versions that wrote the events of a body, and the ID of the last one. */
export const versionsIn = (body: string): string[] => [...body.matchAll(/^data: (\S+)$/gm)].map(match => match[1]!);
export const lastIdIn = (body: string): string | undefined => [...body.matchAll(/^id: (\d+)$/gm)].at(-1)?.[1];

/** Nodes in this process with one store, in front of runners of several software versions. */
export class VersionFleet {
    readonly nodes: FleetNode[] = [];
    readonly store = MemoryPlatformStore.create(createRandom(1));
    private readonly runners = new Map<string, FleetRunner>();
    /** Nodes that learn of no change of the directory. */
    readonly frozen = new Set<FleetNode>();
    private rowVersion = 0;
    private sequence = 0;

    private constructor() {}

    /** Starts nodes without runners. */
    static async create(nodeCount: number): Promise<VersionFleet> {
        const fleet = new VersionFleet();
        fleet.store.lossShare = 0;
        for (let index = 0; index < nodeCount; index++) {
            fleet.nodes.push(await fleet.startNode(`n${index}`));
        }
        return fleet;
    }

    /** Starts a runner and adds it to the directory. */
    async addRunner(id: string, softwareVersion: string): Promise<void> {
        const upstream = await startScriptedUpstream(versionedStream(softwareVersion));
        const entry: UpstreamServer = {
            id,
            service,
            address: upstream.address,
            availabilityZone: "a",
            softwareVersion,
            slots: 64,
            state: UpstreamState.Ready,
            models: [{ name: "m", version: 1, adapters: [] }],
            inMemory: [],
            onDisk: [],
            bornAt: ++this.sequence,
            acceptedOrders: 0,
        };
        this.runners.set(id, { upstream, entry });
        this.applyRow(id, entry);
    }

    /** Ends a runner and removes it from the directory. */
    removeRunner(id: string): void {
        this.runners.get(id)?.upstream.close();
        this.runners.delete(id);
        this.applyRow(id);
    }

    /** Lets a frozen node learn of the runners that came meanwhile. */
    catchUp(node: FleetNode): void {
        this.frozen.delete(node);
        this.runners.forEach(({ entry }, id) => node.gateway.directory.apply({ id, version: ++this.rowVersion, server: entry }));
    }

    /** Replaces all nodes by new processes, which know nothing of before. */
    async restartNodes(): Promise<void> {
        for (const [index, { name, server }] of this.nodes.entries()) {
            void server.close(0);
            this.nodes[index] = await this.startNode(name);
        }
    }

    /** Begins streams at all nodes in turn, or at one, and lets their callers leave after some events; returns what each caller has. */
    beginStreams(count: number, node?: FleetNode): Promise<readonly { readonly id: string; readonly body: string; }[]> {
        const begin = async (index: number): Promise<{ readonly id: string; readonly body: string; }> => {
            const id = `first-${++this.sequence}`;
            const { body } = await this.call(node ?? this.nodes[index % this.nodes.length]!, { "attempt-id": id }, callerLeavesAfterEvents);
            return { id, body };
        };
        return Promise.all([...Array(count).keys()].map(begin));
    }

    /** Takes a stream up at a node. */
    async takeUp(node: FleetNode, { id, body }: { readonly id: string; readonly body: string; }): Promise<TakenUpStream> {
        const headers = { "attempt-id": `next-${++this.sequence}`, "resumes": id, "last-event-id": lastIdIn(body) ?? "0" };
        const result = await this.call(node, headers);
        const events = result.status === 200 ? result.body : "";
        const versions = new Set([...versionsIn(body), ...versionsIn(events)]);
        return { status: result.status, versions, isComplete: result.isComplete, afterMs: result.afterMs };
    }

    close(): void {
        this.nodes.forEach(({ server }) => void server.close(0));
        this.runners.forEach(({ upstream }) => upstream.close());
    }

    private applyRow(id: string, server?: UpstreamServer): void {
        this.nodes.filter(node => !this.frozen.has(node)).forEach(({ gateway }) => gateway.directory.apply({ id, version: ++this.rowVersion, server }));
    }

    private call(node: FleetNode, headers: Readonly<Record<string, string>>, abortAfterEvents?: number): Promise<CallerResult> {
        const model = { "model": "m", "token-count": "150,40", "prompt-prefix": `own${this.sequence}:50` };
        return callGateway(node.address, { headers: { ...model, ...headers }, abortAfterEvents, keepsPart: true });
    }

    private async startNode(name: string): Promise<FleetNode> {
        const gateway = Gateway.create({ ...platformTestSettings, nodeId: name }, requestHeaderCodec, createRandom(1), this.store);
        gateway.applyConfig({
            version: 1,
            routes: [route],
            services: new Map([[service, { name: service, healthPath: "/healthz", maxConnections: 100 }]]),
            limits: { maxHeaderBytes: 4_096, maxBodyBytes: 10_000, headerTimeoutMs: 3_000, idleTimeoutMs: 5_000 },
        }, Buffer.from(""));
        const server = CallerServer.create(gateway);
        const address = `127.0.0.1:${await reservePort()}`;
        await server.listen(address);
        this.runners.forEach(({ entry }) => gateway.directory.apply({ id: entry.id, version: ++this.rowVersion, server: entry }));
        return { name, gateway, address, server };
    }
}

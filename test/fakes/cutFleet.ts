import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { Agent, request } from "node:http";
import type { Socket } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { Random } from "../../src/utils/random";
import { sleep } from "../../src/utils/time";
import type { LinkCut } from "./linkCut";
import { CutProxy, NewLinks, sourceAddressModule } from "./linkCut";
import { PlatformProcess } from "./platformProcess";
import { reservePort } from "./ports";
import type { ReceivedRequest, Script, ScriptedUpstream } from "./scriptedUpstream";
import { answerOf, chunkOf, lastChunk, startScriptedUpstream, streamHeadOf } from "./scriptedUpstream";
import { sseEvents } from "./upstreamScripts";

/** Availability zones of the nodes. */
const defaultZones: readonly string[] = ["a", "a", "a"];
const upstreamsPerService = 3;
const routeTimeoutMs = 6_000;
const deadlineMs = 4_000;
const graceS = 8;
const events = 5;
const defaultWorkMs = 40;
const minEventMs = 20;
const maxThinkMs = 150;

/** A caller's request that has ended. Times are on the monotonic clock. */
export interface CutCall {
    readonly id: string;
    readonly node: number;
    readonly kind: string;
    readonly sentAt: number;
    readonly endedAt: number;
    /** Undefined if the connection ended without a whole answer. */
    readonly status: number | undefined;
    readonly isServed: boolean;
}

const kinds = ["streaming", "idempotent", "non_idempotent"] as const;

const streamBody = sseEvents(1, events);

const writeEvents = async (socket: Socket, { id, head }: ReceivedRequest, workMs: number): Promise<void> => {
    socket.write(streamHeadOf(id));
    const lastEventId = Number(/^last-event-id: (\d+)$/im.exec(head)?.[1] ?? 0);
    for (let event = lastEventId + 1; event <= events && socket.writable; event++) {
        await sleep(Math.max(minEventMs, workMs / events));
        socket.write(chunkOf(sseEvents(event, event)));
    }
    socket.write(lastChunk);
};

/** Nodes as processes with upstreams of three services, from which nodes can be cut off while callers, store and peers reach them. */
export class CutFleet {
    readonly calls: CutCall[] = [];

    private constructor(
        private readonly folder: string,
        private readonly subnet: number,
        private readonly runs: ReadonlyMap<string, number>,
        private readonly nodes: readonly PlatformProcess[],
        private readonly proxies: readonly CutProxy[],
        private readonly upstreams: readonly ScriptedUpstream[],
    ) {}

    /** Starts the nodes; `subnet` is the third part of their addresses on loopback. */
    static async start(subnet: number, workMs = defaultWorkMs, zones = defaultZones): Promise<CutFleet> {
        const folder = mkdtempSync(join(tmpdir(), "jackdawtrail-cut-"));
        const runs = new Map<string, number>();
        const scripts: Readonly<Record<(typeof kinds)[number], Script>> = {
            streaming: (socket, req) => void writeEvents(socket, req, workMs),
            idempotent: (socket, { id }) => void setTimeout(() => socket.write(answerOf(id, `done ${id}`)), workMs),
            non_idempotent: (socket, { id }) => void setTimeout(() => socket.write(answerOf(id, `done ${id}`)), workMs),
        };
        const rows: Record<string, object> = {};
        const proxies: CutProxy[] = [];
        const upstreams: ScriptedUpstream[] = [];
        for (const kind of kinds) {
            for (let index = 0; index < upstreamsPerService; index++) {
                const upstream = await startScriptedUpstream((socket, req, self) => {
                    runs.set(req.id, (runs.get(req.id) ?? 0) + 1);
                    scripts[kind](socket, req, self);
                });
                const proxy = await CutProxy.create(upstream.address);
                rows[`${kind}-${index}`] = { service: kind, addr: proxy.address, slots: 50 };
                upstreams.push(upstream);
                proxies.push(proxy);
            }
        }
        const config = {
            routes: kinds.map(kind => ({
                name: kind,
                host: "shop.example",
                prefix: `/${kind}/`,
                routeKind: kind,
                timeoutMs: routeTimeoutMs,
                service: kind,
                attempts: 2,
                resumable: kind === "streaming",
            })),
            services: kinds.map(name => ({ name, healthPath: "/h", maxConns: 500 })),
        };
        const closedPort = await reservePort();
        const nodes: PlatformProcess[] = [];
        for (const [index, zone] of zones.entries()) {
            const address = CutFleet.addressOf(subnet, index);
            const module = join(folder, `source-${index}.cjs`);
            writeFileSync(module, sourceAddressModule(address, join(folder, `cut-${index}.json`), closedPort));
            nodes.push(await PlatformProcess.start(graceS, config, rows, nodes[0], undefined, [module], address, zone));
        }
        return new CutFleet(folder, subnet, runs, nodes, proxies, upstreams);
    }

    private static addressOf(subnet: number, node: number): string {
        return `127.0.${subnet}.${node + 2}`;
    }

    /** Cuts a node off from all upstreams, or reconnects it. */
    setCut(node: number, cut: LinkCut | undefined): void {
        const isHeld = cut !== undefined && [NewLinks.Hang, NewLinks.Refused].includes(cut.new);
        const ports = isHeld ? this.proxies.map(({ port }) => port) : [];
        writeFileSync(join(this.folder, `cut-${node}.json`), JSON.stringify({ kind: cut?.new, ports }));
        this.proxies.forEach(proxy => proxy.setCut(CutFleet.addressOf(this.subnet, node), cut));
    }

    /** Lets all upstreams, or those of one service, fall silent for a time. */
    async silenceUpstreams(ms: number, service?: (typeof kinds)[number]): Promise<void> {
        const serviceOf = (proxy: CutProxy): string => kinds[Math.floor(this.proxies.indexOf(proxy) / upstreamsPerService)]!;
        const proxies = this.proxies.filter(proxy => service === undefined || serviceOf(proxy) === service);
        proxies.forEach(proxy => proxy.setPaused(true));
        await sleep(ms);
        proxies.forEach(proxy => proxy.setPaused(false));
    }

    /** Requests a planned stop of a node; resolves with the time until its process has ended. */
    async stop(node: number): Promise<number> {
        const startedAt = performance.now();
        const { process } = this.nodes[node]!;
        const exited = once(process, "exit");
        process.kill("SIGTERM");
        await exited;
        return performance.now() - startedAt;
    }

    /** Whether all nodes answer. */
    async isServing(): Promise<boolean> {
        const agent = new Agent();
        const pairs = [...this.nodes.keys()].flatMap(node => kinds.map(kind => ({ node, kind })));
        const calls = await Promise.all(pairs.map(({ node, kind }) => this.call(node, kind, `first-${node}-${kind}`, agent)));
        return calls.every(({ isServed }) => isServed);
    }

    /** Sends requests to a node over a kept connection, one after the other, until the signal aborts. */
    async runCaller(node: number, name: string, random: Random, signal: AbortSignal): Promise<void> {
        const agent = new Agent({ keepAlive: true, maxSockets: 1 });
        for (let count = 0; !signal.aborted; count++) {
            await sleep(maxThinkMs * random(), signal);
            const kind = kinds[Math.floor(random() * kinds.length)]!;
            this.calls.push(await this.call(node, kind, `${name}-${count}`, agent));
        }
        agent.destroy();
    }

    /** How often upstreams began to run a request. */
    runsOf(id: string): number {
        return this.runs.get(id) ?? 0;
    }

    close(): void {
        this.nodes.slice(1).forEach(node => node.process.kill("SIGKILL"));
        this.nodes[0]?.close();
        this.proxies.forEach(proxy => proxy.close());
        this.upstreams.forEach(upstream => upstream.close());
        rmSync(this.folder, { recursive: true });
    }

    private call(node: number, kind: (typeof kinds)[number], id: string, agent: Agent): Promise<CutCall> {
        const sentAt = performance.now();
        const [host, port] = this.nodes[node]!.front.split(":");
        const headers = { host: "shop.example", "attempt-id": id, "deadline-ms": deadlineMs };
        return new Promise(resolve => {
            const finish = (status: number | undefined, body: string): void => {
                const isServed = status === 200 && body === (kind === "streaming" ? streamBody : `done ${id}`);
                clearTimeout(deadline);
                resolve({ id, node, kind, sentAt, endedAt: performance.now(), status, isServed });
            };
            const req = request({ host, port, method: "POST", path: `/${kind}/x`, headers, agent }, res => {
                const chunks: Buffer[] = [];
                res.on("data", (chunk: Buffer) => chunks.push(chunk));
                res.on("error", () => finish(undefined, ""));
                res.on("end", () => finish(res.complete ? res.statusCode : undefined, Buffer.concat(chunks).toString()));
            });
            const deadline = setTimeout(() => req.destroy(), deadlineMs);
            req.on("error", () => finish(undefined, ""));
            req.end();
        });
    }
}

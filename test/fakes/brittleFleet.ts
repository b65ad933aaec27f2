import { RequestPacer } from "../../src/core/requestPacer";
import type { PeerClients } from "../../src/placement/peerClients";
import { PermitClient } from "../../src/placement/permitClient";
import type { PermitRequest, PlaceReport } from "../../src/types/sendPermit";
import type { Random } from "../../src/utils/random";
import { createRandom, pick } from "../../src/utils/random";
import { BrittleServer } from "./brittleServer";

export interface FleetTerms {
    readonly nodeCount: number;
    readonly serverCount: number;
    readonly slots: number;
    readonly maxRejectionsPerS: number;
    /** Requests in a second as a share of what the servers can run. */
    readonly load: number;
    readonly serviceMs: number;
    /** Whether nodes ask for places. */
    readonly asks?: boolean;
    /** Nodes that reach no other node. */
    readonly cutOff?: number;
    /** Time after the word at which the pacer of the first server ends. */
    readonly pacerEndsAtMs?: number;
    /** Time after the word at which half of the servers end. */
    readonly serversEndAtMs?: number;
    /** Share of requests that run for long, from before the word. */
    readonly longRequests?: number;
}

interface FleetNode {
    readonly address: string;
    readonly permits: PermitClient;
    readonly pacer: RequestPacer;
    readonly inFlight: Map<string, number>;
    /** When it hears the word. */
    readonly hearsAt: number;
}

const linkMs = 2;
const callTimeoutMs = 700;
const deadlineMs = 1_500;
const reportIntervalMs = 400;
const maxHearMs = 1_000;
const longRequestMs = 8_000;
const arrivalStepMs = 3;
const maxAsked = 3;
const queueMs = 400;
/** The servers begin to say that they are brittle after this time. */
export const wordAtMs = 2_000;

/** Nodes that send requests to servers which turn brittle, in simulated time. */
export class BrittleFleet {
    readonly servers: readonly BrittleServer[];
    served = 0;
    refused = 0;
    sent = 0;
    /** Rejections of the servers that no request survived. */
    rejected = 0;
    private readonly nodes: readonly FleetNode[];
    private readonly random: Random;
    private readonly ended = new Set<string>();
    private readonly startedAt = performance.now();
    private loads = new Map<string, number>();

    private constructor(private readonly terms: FleetTerms) {
        this.random = createRandom(terms.nodeCount);
        this.servers = [...Array(terms.serverCount).keys()].map(index => BrittleServer.create(`s${index}`, terms, () => performance.now() - this.startedAt));
        const addresses = [...Array(terms.nodeCount).keys()].map(index => `n${index}`);
        const pacers = new Map(addresses.map(address => [address, RequestPacer.create()]));
        this.nodes = addresses.map((self, index) => ({
            address: self,
            pacer: pacers.get(self)!,
            permits: PermitClient.create(this.clientsOf(index, pacers), pacers.get(self)!, () => ({ self, addresses })),
            inFlight: new Map<string, number>(),
            hearsAt: wordAtMs + maxHearMs * this.random(),
        }));
    }

    static create(terms: FleetTerms): BrittleFleet {
        return new BrittleFleet(terms);
    }

    /** Falls of all servers. */
    get falls(): number {
        return this.servers.reduce((sum, { falls }) => sum + falls, 0);
    }

    start(): void {
        const { serverCount, slots, serviceMs, load } = this.terms;
        const intervalMs = serviceMs / (serverCount * slots * load);
        let nextAt = this.startedAt;
        const arrive = (): void => {
            for (; nextAt <= performance.now(); nextAt -= Math.log(1 - this.random()) * intervalMs) {
                void this.request(pick(this.nodes, this.random)!);
            }
            setTimeout(arrive, arrivalStepMs);
        };
        const report = (): void => {
            this.loads = new Map(this.servers.map(server => [server.key, this.nodes.reduce((sum, { inFlight }) => sum + (inFlight.get(server.key) ?? 0), 0)]));
            for (const node of this.nodes) {
                if (this.knowsOf(node)) {
                    node.permits.reportRequests(this.servers.map(({ key }) => ({ runner: key, count: node.inFlight.get(key) ?? 0 })));
                }
            }
            setTimeout(report, reportIntervalMs);
        };
        arrive();
        report();
        const { pacerEndsAtMs, serversEndAtMs } = this.terms;
        if (serversEndAtMs !== undefined) {
            setTimeout(() => this.servers.slice(0, Math.ceil(serverCount / 2)).forEach(server => server.end()), wordAtMs + serversEndAtMs);
        }
        if (pacerEndsAtMs !== undefined) {
            setTimeout(
                () => this.nodes.slice(0, Math.ceil(this.nodes.length / 10)).forEach(({ address }) => this.ended.add(address)),
                wordAtMs + pacerEndsAtMs,
            );
        }
    }

    private knowsOf({ hearsAt }: FleetNode): boolean {
        return this.terms.asks !== false && performance.now() - this.startedAt >= hearsAt;
    }

    private clientsOf(index: number, pacers: ReadonlyMap<string, RequestPacer>): PeerClients {
        const isCutOff = index < (this.terms.cutOff ?? 0);
        const call = async <T>(address: string, answer: (pacer: RequestPacer) => Promise<T>): Promise<T> => {
            const isEnded = this.ended.has(address);
            await new Promise(resolve => setTimeout(resolve, isCutOff || isEnded ? callTimeoutMs : linkMs));
            if (isCutOff || isEnded || Number(address.slice(1)) < (this.terms.cutOff ?? 0)) {
                throw new Error("ECONNREFUSED");
            }
            const result = await answer(pacers.get(address)!);
            await new Promise(resolve => setTimeout(resolve, linkMs));
            return result;
        };
        const get = (address: string): unknown => ({
            permit: { mutate: (req: PermitRequest) => call(address, pacer => pacer.acquire(req)) },
            places: { mutate: (report: PlaceReport) => call(address, pacer => Promise.resolve(pacer.rooms.report(report))) },
        });
        return { get } as unknown as PeerClients;
    }

    private async request(node: FleetNode): Promise<void> {
        const dueAt = performance.now() + deadlineMs;
        const tried = new Set<BrittleServer>();
        this.sent++;
        if (this.ended.has(node.address)) {
            return;
        }
        while (performance.now() + this.terms.serviceMs < dueAt) {
            const server = await this.choose(node, tried, dueAt);
            if (!server) {
                break;
            }
            tried.add(server.server);
            if (await this.attempt(node, server.server, server.id)) {
                this.served++;
                return;
            }
        }
        this.refused++;
    }

    private async choose(node: FleetNode, tried: ReadonlySet<BrittleServer>, dueAt: number): Promise<{ server: BrittleServer; id?: string; } | undefined> {
        const asked = new Set<BrittleServer>();
        for (;;) {
            const others = this.servers.filter(server => !tried.has(server));
            const server = pick(others.filter(other => !asked.has(other)), this.random) ?? pick(others, this.random);
            if (!server || !this.knowsOf(node)) {
                return server && { server };
            }
            const isQueued = asked.size >= Math.min(maxAsked, others.length);
            const maxWaitMs = dueAt - performance.now() - this.terms.serviceMs;
            if (maxWaitMs <= 0) {
                return undefined;
            }
            const id = `${node.address}-${this.random()}`;
            const runner = server.key;
            const permit = await node.permits.acquire({
                runner,
                maxWaitMs,
                place: {
                    id,
                    node: node.address,
                    holdMs: dueAt - performance.now() + 500,
                    slots: this.terms.slots,
                    share: 1,
                    maxRejectionsPerS: this.terms.maxRejectionsPerS,
                    load: this.loads.get(runner) ?? 0,
                    unplaced: node.inFlight.get(runner) ?? 0,
                    maxQueueMs: isQueued ? Math.min(maxWaitMs, queueMs) : 0,
                    dueInMs: maxWaitMs,
                    priority: 0,
                },
            });
            if (permit.isGranted && performance.now() + this.terms.serviceMs < dueAt) {
                return { server, id };
            }
            if (permit.isGranted) {
                node.permits.returnPlace({ runner, id, isRejected: false });
                return undefined;
            }
            asked.add(server);
            if (isQueued) {
                asked.clear();
            }
        }
    }

    private async attempt(node: FleetNode, server: BrittleServer, id: string | undefined): Promise<boolean> {
        const runner = server.key;
        const { inFlight } = node;
        inFlight.set(runner, (inFlight.get(runner) ?? 0) + 1);
        const isLong = performance.now() - this.startedAt < wordAtMs && this.random() < (this.terms.longRequests ?? 0);
        const runMs = isLong ? longRequestMs : this.terms.serviceMs * (0.5 + this.random());
        const isServed = await server.run(runMs);
        inFlight.set(runner, inFlight.get(runner)! - 1);
        if (isServed === "rejected") {
            this.rejected++;
        }
        if (id !== undefined || (isServed === "rejected" && this.knowsOf(node))) {
            node.permits.returnPlace({ runner, id, isRejected: isServed === "rejected" });
        }
        return isServed === "served";
    }
}

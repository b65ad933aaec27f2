import { isShortPrefill } from "../../src/core/prefillSchedule";
import { RequestPacer } from "../../src/core/requestPacer";
import { notBrittleRejectionsPerS } from "../../src/core/runnerRoom";
import type { PeerClients } from "../../src/placement/peerClients";
import { PermitClient } from "../../src/placement/permitClient";
import type { Permit, PermitRequest, PlaceReport } from "../../src/types/sendPermit";
import type { Random } from "../../src/utils/random";
import { createRandom, pick } from "../../src/utils/random";
import { sleep } from "../../src/utils/time";
import type { GenerationFleetTerms, GenerationKind, KindResult } from "./generationKinds";
import { ModelRunner } from "./modelRunner";

interface FleetNode {
    readonly address: string;
    readonly permits: PermitClient;
    readonly counts: Map<string, { count: number; tokens: number; }>;
}

const slots = 64;
const linkMs = 1;
const callTimeoutMs = 700;
const reportIntervalMs = 400;
const maxAsked = 3;
const prefillTokensPerMs = 38;
const outputTokensPerEvent = 5;
const urgentPriority = 0;
const firstEventMs = 60;
const knownLoadShare = 0.5;

/** Nodes that send generations to runners, in simulated time. */
export class GenerationFleet {
    readonly runners: readonly ModelRunner[];
    readonly results: ReadonlyMap<GenerationKind, KindResult>;
    /** Calls between nodes. */
    calls = 0;
    private readonly nodes: readonly FleetNode[];
    private readonly random: Random;
    private readonly ended = new Set<string>();
    private isOver = false;

    private constructor(private readonly terms: GenerationFleetTerms) {
        this.random = createRandom(terms.nodeCount);
        this.runners = [...Array(terms.runnerCount).keys()].map(index => ModelRunner.start(`r${index}`));
        const empty = { sent: 0, inTime: 0, served: 0, refused: 0, tokens: 0, longestWaitMs: 0, longestGapMs: 0 };
        this.results = new Map(terms.kinds.map(kind => [kind, { ...empty }]));
        const addresses = [...Array(terms.nodeCount).keys()].map(index => `n${index}`);
        const pacers = new Map(addresses.map(address => [address, RequestPacer.create()]));
        this.nodes = addresses.map(self => ({
            address: self,
            permits: PermitClient.create(this.clientsOf(self, pacers), pacers.get(self)!, () => ({ self, addresses })),
            counts: new Map(),
        }));
    }

    /** Starts the load. */
    static start(terms: GenerationFleetTerms): GenerationFleet {
        const fleet = new GenerationFleet(terms);
        terms.kinds.forEach(kind => fleet.arrive(kind));
        fleet.report();
        if (terms.nodesEndAtMs !== undefined) {
            setTimeout(() => fleet.nodes.slice(0, Math.ceil(terms.nodeCount / 10)).forEach(({ address }) => fleet.ended.add(address)), terms.nodesEndAtMs);
        }
        return fleet;
    }

    /** Ends the arrivals. */
    stop(): void {
        this.isOver = true;
    }

    private arrive(kind: GenerationKind): void {
        setTimeout(() => {
            if (!this.isOver) {
                void this.request(pick(this.nodes, this.random)!, kind);
                this.arrive(kind);
            }
        }, -Math.log(1 - this.random()) * 1_000 / kind.perSecond);
    }

    private report(): void {
        this.nodes.filter(({ address }) => this.terms.asks && !this.ended.has(address)).forEach(({ permits, counts }) =>
            permits.reportRequests(this.runners.map(({ key }) => ({ runner: key, count: 0, tokens: 0, ...counts.get(key) })))
        );
        setTimeout(() => this.report(), reportIntervalMs);
    }

    private isUnreachable(address: string): boolean {
        return this.ended.has(address) || Number(address.slice(1)) < (this.terms.cutOff ?? 0);
    }

    private clientsOf(self: string, pacers: ReadonlyMap<string, RequestPacer>): PeerClients {
        const call = async <T>(address: string, answer: (pacer: RequestPacer) => Promise<T>): Promise<T> => {
            this.calls++;
            if (this.isUnreachable(address) || this.isUnreachable(self)) {
                await sleep(callTimeoutMs);
                throw new Error("ECONNREFUSED");
            }
            await sleep(linkMs);
            const result = await answer(pacers.get(address)!);
            await sleep(linkMs);
            return result;
        };
        const get = (address: string): unknown => ({
            permit: { mutate: (req: PermitRequest) => call(address, pacer => pacer.acquire(req)) },
            places: { mutate: (report: PlaceReport) => call(address, pacer => Promise.resolve(pacer.rooms.report(report))) },
        });
        return { get } as unknown as PeerClients;
    }

    private async request(node: FleetNode, kind: GenerationKind): Promise<void> {
        if (this.ended.has(node.address)) {
            return;
        }
        const result = this.results.get(kind)!;
        result.sent++;
        const startedAt = performance.now();
        const chosen = await this.choose(node, kind, startedAt);
        if (!chosen) {
            result.refused++;
            result.longestWaitMs = Math.max(result.longestWaitMs, performance.now() - startedAt);
            return;
        }
        const { runner, id } = chosen;
        const tokens = kind.promptTokens + kind.events * outputTokensPerEvent;
        const counted = node.counts.get(runner.key) ?? { count: 0, tokens: 0 };
        node.counts.set(runner.key, { count: counted.count + 1, tokens: counted.tokens + tokens });
        let lastAt = startedAt;
        let isInTime = true;
        await runner.run(kind.promptTokens, kind.events, count => {
            const gapMs = performance.now() - lastAt;
            lastAt = performance.now();
            isInTime &&= gapMs <= (count === 1 ? kind.objectiveMs : kind.gapMs);
            result.longestGapMs = count === 1 ? result.longestGapMs : Math.max(result.longestGapMs, gapMs);
        });
        const now = node.counts.get(runner.key)!;
        node.counts.set(runner.key, { count: now.count - 1, tokens: now.tokens - tokens });
        result.served++;
        result.tokens += tokens;
        result.inTime += isInTime ? 1 : 0;
        if (id !== undefined && !this.ended.has(node.address)) {
            node.permits.returnPlace({ runner: runner.key, id, isRejected: false });
        }
    }

    private async choose(
        node: FleetNode,
        kind: GenerationKind,
        startedAt: number,
    ): Promise<{ readonly runner: ModelRunner; readonly id?: string; } | undefined> {
        if (!this.terms.asks) {
            return { runner: pick(this.runners, this.random)! };
        }
        for (;;) {
            const asked: { readonly runner: ModelRunner; readonly permit: Permit; }[] = [];
            while (asked.length < Math.min(maxAsked, this.runners.length)) {
                const others = this.runners.filter(runner => !asked.some(other => other.runner === runner));
                const runner = [...others].sort((a, b) => a.size - b.size)[0]!;
                const { permit, id } = await this.ask(node, runner, kind, startedAt, 0);
                if (permit.isGranted) {
                    return { runner, id };
                }
                asked.push({ runner, permit });
            }
            const first = asked.sort((a, b) => a.permit.waitMs - b.permit.waitMs)[0]!;
            const leftMs = startedAt + kind.objectiveMs - performance.now() - this.neededMs(kind);
            if (first.permit.waitMs > leftMs) {
                return undefined;
            }
            const { permit, id } = await this.ask(node, first.runner, kind, startedAt, leftMs);
            if (permit.isGranted) {
                return { runner: first.runner, id };
            }
            await sleep(25);
        }
    }

    private neededMs({ promptTokens }: GenerationKind): number {
        return promptTokens / prefillTokensPerMs + firstEventMs;
    }

    private async ask(
        node: FleetNode,
        runner: ModelRunner,
        kind: GenerationKind,
        startedAt: number,
        maxQueueMs: number,
    ): Promise<{ readonly permit: Permit; readonly id: string; }> {
        const { customer, priority, promptTokens, events, objectiveMs, gapMs } = kind;
        const id = `${node.address}-${this.random()}`;
        const prefillMs = promptTokens / prefillTokensPerMs;
        const isUrgent = priority === urgentPriority && isShortPrefill(prefillMs, gapMs);
        const { count = 0, tokens = 0 } = node.counts.get(runner.key) ?? {};
        const permit = await node.permits.acquire({
            runner: runner.key,
            maxWaitMs: objectiveMs,
            place: {
                id,
                node: node.address,
                holdMs: 20_000,
                slots,
                share: 1,
                maxRejectionsPerS: notBrittleRejectionsPerS,
                load: runner.size,
                unplaced: count,
                maxQueueMs,
                dueInMs: startedAt + objectiveMs - performance.now(),
                priority,
                generation: {
                    tokens: promptTokens + events * outputTokensPerEvent,
                    kvTokens: this.terms.kvTokens,
                    prefillMs,
                    gapMs,
                    isUrgent,
                    isSent: isUrgent && runner.size <= knownLoadShare * slots,
                    customer,
                    unplacedTokens: tokens,
                },
            },
        });
        return { permit, id };
    }
}

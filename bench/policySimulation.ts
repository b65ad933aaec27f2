import { build } from "hdr-histogram-js";
import TinyQueue from "tinyqueue";
import type { Random } from "../src/utils/random";
import type { SimulatedRequest } from "./policySimulationEngine";
import { PolicySimulationEngine } from "./policySimulationEngine";
import type { Workload } from "./policyWorkloads";
import { deploymentOf, durationMs, faultEndMs, faultStartMs, Scenario } from "./policyWorkloads";

const slots = 8;
export const runnerMemoryMiB = 80_000;
const modelLoadMs = 4_000;
const adapterLoadMs = 8;
/** Loads of models at once over all runners; more wait. */
const loadsAtOnce = 8;
const adapterMiB = 400;
const firstTargetMs = 550;
const betweenTargetMs = 42;
const waitPollMs = 250;
const deadlineMs = 10_000;
const sampleMs = 2_000;

export const modelArtifactKey = (model: number): string => `model:m${model}@1`;
export const adapterArtifactKey = (adapter: number): string => `adapter:a${adapter}@1`;
export const modelMemoryMiB = (model: number): number => 14_000 + (model * 7_919) % 12_000;
export const artifactMemoryMiB = (artifact: string): number => artifact.startsWith("adapter:") ? adapterMiB : modelMemoryMiB(Number(artifact.slice(7, -2)));

interface SimEvent {
    readonly at: number;
    readonly order: number;
    readonly run: () => void;
}

/** A policy under measurement. */
export interface Policy {
    readonly name: string;
    /** Called every 2 s. */
    tick(sim: PolicySimulation): void;
    /** The engine for a request now, or undefined to let it wait. */
    route(sim: PolicySimulation, request: SimulatedRequest): PolicySimulationEngine | undefined;
}

/** What a run gave. */
export interface PolicyResult {
    readonly attainment: number;
    readonly accelerators: number;
    readonly attainmentPerAccelerator: number;
    readonly modelMoves: number;
    readonly adapterMoves: number;
    readonly p50: number;
    readonly p95: number;
    readonly p99: number;
    readonly refused: number;
}

/** Runs requests over engines on a clock of its own: service time, load time and memory, no network. */
export class PolicySimulation {
    now = 0;
    readonly engines: readonly PolicySimulationEngine[];
    private readonly events = new TinyQueue<SimEvent>([], (a, b) => a.at - b.at || a.order - b.order);
    private order = 0;
    private loading = 0;
    private readonly moves = { model: 0, adapter: 0 };
    private met = 0;
    private refused = 0;
    private usedSamples = 0;
    private readonly first = build({ highestTrackableValue: 120_000, numberOfSignificantValueDigits: 3 });

    constructor(readonly workload: Workload, readonly scenario: Scenario, readonly random: Random, private readonly policy: Policy) {
        const groups = Object.entries(workload.runners).flatMap(([group, count]) => Array<string>(count).fill(group));
        this.engines = groups.map((group, at) =>
            new PolicySimulationEngine(`r${at}`, workload.zones[at % workload.zones.length]!, group, slots, runnerMemoryMiB)
        );
    }

    /** Engines that a request of a zone can reach now. */
    reachableEngines(zone: string, model: number): readonly PolicySimulationEngine[] {
        const group = deploymentOf(this.workload, model);
        const cut = this.scenario === Scenario.ZonePartition && this.isFaultActive() ? this.workload.zones[0] : undefined;
        return this.engines.filter(engine => !engine.isLost && engine.deployment === group && (cut === undefined || (engine.zone === cut) === (zone === cut)));
    }

    /** Whether a fault that ends is under way. */
    isFaultActive(): boolean {
        return this.now >= faultStartMs && this.now < faultEndMs;
    }

    /** Starts a load; false where memory or the weight store's limit forbids it. */
    load(engine: PolicySimulationEngine, artifact: string): boolean {
        const memoryMiB = artifactMemoryMiB(artifact);
        const isModel = artifact.startsWith("model:");
        if (engine.copies.has(artifact) || engine.freeMiB < memoryMiB || (isModel && this.loading >= loadsAtOnce)) {
            return false;
        }
        const readyAt = this.now + (this.now === 0 ? 0 : isModel ? modelLoadMs : adapterLoadMs);
        engine.copies.set(artifact, { memoryMiB, readyAt, active: 0, usedAt: this.now });
        if (this.now > 0) {
            this.moves[isModel ? "model" : "adapter"]++;
            this.loading += isModel ? 1 : 0;
            this.schedule(readyAt, () => this.loading -= isModel ? 1 : 0);
        }
        return true;
    }

    /** Evicts an idle artifact. */
    evict(engine: PolicySimulationEngine, artifact: string): boolean {
        if ((engine.copies.get(artifact)?.active ?? 1) > 0) {
            return false;
        }
        engine.copies.delete(artifact);
        this.moves[artifact.startsWith("model:") ? "model" : "adapter"]++;
        return true;
    }

    run(requests: readonly SimulatedRequest[]): PolicyResult {
        for (let at = 0; at < durationMs; at += sampleMs) {
            this.schedule(at, () => this.tick());
        }
        if (this.scenario === Scenario.RunnerLost) {
            this.schedule(faultStartMs, () => this.engines[0]!.isLost = true);
        }
        requests.forEach(request => this.schedule(request.at, () => this.place(request)));
        for (let event = this.events.pop(); event; event = this.events.pop()) {
            this.now = event.at;
            event.run();
        }
        const accelerators = this.usedSamples / (durationMs / sampleMs);
        const attainment = this.met / requests.length;
        const percentile = (share: number) => this.first.getValueAtPercentile(share);
        return {
            attainment,
            accelerators,
            attainmentPerAccelerator: attainment / accelerators,
            modelMoves: this.moves.model,
            adapterMoves: this.moves.adapter,
            p50: percentile(50),
            p95: percentile(95),
            p99: percentile(99),
            refused: this.refused,
        };
    }

    private tick(): void {
        this.policy.tick(this);
        this.usedSamples += this.engines.filter(engine => [...engine.copies.keys()].some(artifact => artifact.startsWith("model:"))).length;
    }

    private schedule(at: number, run: () => void): void {
        this.events.push({ at, order: this.order++, run });
    }

    private place(request: SimulatedRequest): void {
        const engine = this.policy.route(this, request);
        if (engine) {
            const begin = () => this.start(engine, request);
            if (engine.active < engine.slots) {
                begin();
            }
            else {
                engine.queue.push(begin);
            }
            return;
        }
        if (this.now - request.at >= deadlineMs) {
            this.refused++;
            return;
        }
        this.schedule(this.now + waitPollMs, () => this.place(request));
    }

    private start(engine: PolicySimulationEngine, request: SimulatedRequest): void {
        const { first, between } = engine.latencyOf(request);
        const artifacts = [modelArtifactKey(request.model), ...(request.adapter === undefined ? [] : [adapterArtifactKey(request.adapter)])];
        const held = artifacts.flatMap(artifact => engine.copies.get(artifact) ?? []);
        engine.active++;
        held.forEach(entry => {
            entry.active++;
            entry.usedAt = this.now;
        });
        const firstMs = this.now + first - request.at;
        this.first.recordValue(Math.min(119_000, Math.round(firstMs)));
        this.schedule(this.now + first + between * request.tokens, () => {
            engine.active--;
            held.forEach(entry => entry.active--);
            if (firstMs <= firstTargetMs && between <= betweenTargetMs && !engine.isLost) {
                this.met++;
            }
            engine.queue.shift()?.();
        });
    }
}

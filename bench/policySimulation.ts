import { build } from "hdr-histogram-js";
import TinyQueue from "tinyqueue";
import type { Random } from "../src/utils/random";
import type { SimulatedRequest } from "./policySimulationEngine";
import { PolicySimulationEngine } from "./policySimulationEngine";
import type { Workload } from "./policyWorkloads";
import { deploymentOf, durationMs, faultEndMs, faultStartMs, Scenario } from "./policyWorkloads";

const slotsPerRunner = 8;
export const runnerMemoryMiB = 80_000;
const modelLoadMs = 4_000;
const adapterLoadMs = 8;
/** Concurrent model loads that the weight store allows for all runners together; further loads are rejected until one ends. */
const maxConcurrentModelLoads = 8;
const adapterMiB = 400;
const firstTokenTargetMs = 550;
const betweenTokensTargetMs = 42;
const dispatchRetryMs = 250;
const deadlineMs = 10_000;
const tickIntervalMs = 2_000;

export const modelArtifactKey = (model: number): string => `model:m${model}@1`;
export const adapterArtifactKey = (adapter: number): string => `adapter:a${adapter}@1`;
export const modelMemoryMiB = (model: number): number => 14_000 + (model * 7_919) % 12_000;
export const artifactMemoryMiB = (artifact: string): number => artifact.startsWith("adapter:") ? adapterMiB : modelMemoryMiB(Number(artifact.slice(7, -2)));

interface SimEvent {
    readonly at: number;
    readonly sequence: number;
    readonly run: () => void;
}

/** A placement and routing policy that the simulation measures. */
export interface Policy {
    readonly name: string;
    /** Called every 2 s. */
    tick(sim: PolicySimulation): void;
    /** The engine for a request now, or undefined to let it wait. */
    route(sim: PolicySimulation, request: SimulatedRequest): PolicySimulationEngine | undefined;
}

/** Results of a simulation run. */
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

/** Discrete-event simulation of requests on engines: models service times, load times and memory, but no network. */
export class PolicySimulation {
    now = 0;
    readonly engines: readonly PolicySimulationEngine[];
    private readonly events = new TinyQueue<SimEvent>([], (a, b) => a.at - b.at || a.sequence - b.sequence);
    private eventCount = 0;
    private modelLoadsInFlight = 0;
    private readonly moves = { model: 0, adapter: 0 };
    private withinTargetCount = 0;
    private refused = 0;
    private usedAcceleratorSamples = 0;
    private readonly firstTokenTimes = build({ highestTrackableValue: 120_000, numberOfSignificantValueDigits: 3 });

    constructor(readonly workload: Workload, readonly scenario: Scenario, readonly random: Random, private readonly policy: Policy) {
        const deployments = Object.entries(workload.runners).flatMap(([deployment, count]) => Array<string>(count).fill(deployment));
        this.engines = deployments.map((deployment, index) =>
            new PolicySimulationEngine(`r${index}`, workload.zones[index % workload.zones.length]!, deployment, slotsPerRunner, runnerMemoryMiB)
        );
    }

    /** Engines of the model's deployment that a request from the zone can reach now. */
    reachableEngines(zone: string, model: number): readonly PolicySimulationEngine[] {
        const deployment = deploymentOf(this.workload, model);
        const isolatedZone = this.scenario === Scenario.ZonePartition && this.isFaultActive() ? this.workload.zones[0] : undefined;
        return this.engines.filter(engine =>
            !engine.isLost && engine.deployment === deployment && (isolatedZone === undefined || (engine.zone === isolatedZone) === (zone === isolatedZone))
        );
    }

    /** Whether the current time is within the period of temporary faults. */
    isFaultActive(): boolean {
        return this.now >= faultStartMs && this.now < faultEndMs;
    }

    /** Starts a load; returns false if the copy exists, or memory or the limit of the weight store does not allow the load. */
    load(engine: PolicySimulationEngine, artifact: string): boolean {
        const memoryMiB = artifactMemoryMiB(artifact);
        const isModel = artifact.startsWith("model:");
        if (engine.copies.has(artifact) || engine.freeMiB < memoryMiB || (isModel && this.modelLoadsInFlight >= maxConcurrentModelLoads)) {
            return false;
        }
        const readyAt = this.now + (this.now === 0 ? 0 : isModel ? modelLoadMs : adapterLoadMs);
        engine.copies.set(artifact, { memoryMiB, readyAt, active: 0, lastUsedAt: this.now });
        if (this.now > 0) {
            this.moves[isModel ? "model" : "adapter"]++;
            this.modelLoadsInFlight += isModel ? 1 : 0;
            this.schedule(readyAt, () => this.modelLoadsInFlight -= isModel ? 1 : 0);
        }
        return true;
    }

    /** Evicts a copy; returns false if it is missing or in use. */
    evict(engine: PolicySimulationEngine, artifact: string): boolean {
        if ((engine.copies.get(artifact)?.active ?? 1) > 0) {
            return false;
        }
        engine.copies.delete(artifact);
        this.moves[artifact.startsWith("model:") ? "model" : "adapter"]++;
        return true;
    }

    run(requests: readonly SimulatedRequest[]): PolicyResult {
        for (let at = 0; at < durationMs; at += tickIntervalMs) {
            this.schedule(at, () => this.tick());
        }
        if (this.scenario === Scenario.RunnerLost) {
            this.schedule(faultStartMs, () => this.engines[0]!.isLost = true);
        }
        requests.forEach(request => this.schedule(request.at, () => this.dispatch(request)));
        for (let event = this.events.pop(); event; event = this.events.pop()) {
            this.now = event.at;
            event.run();
        }
        const accelerators = this.usedAcceleratorSamples / (durationMs / tickIntervalMs);
        const attainment = this.withinTargetCount / requests.length;
        const percentile = (percentage: number) => this.firstTokenTimes.getValueAtPercentile(percentage);
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
        this.usedAcceleratorSamples += this.engines.filter(engine => [...engine.copies.keys()].some(artifact => artifact.startsWith("model:"))).length;
    }

    private schedule(at: number, run: () => void): void {
        this.events.push({ at, sequence: this.eventCount++, run });
    }

    private dispatch(request: SimulatedRequest): void {
        const engine = this.policy.route(this, request);
        if (engine) {
            const start = () => this.start(engine, request);
            if (engine.active < engine.slots) {
                start();
            }
            else {
                engine.queue.push(start);
            }
            return;
        }
        if (this.now - request.at >= deadlineMs) {
            this.refused++;
            return;
        }
        this.schedule(this.now + dispatchRetryMs, () => this.dispatch(request));
    }

    private start(engine: PolicySimulationEngine, request: SimulatedRequest): void {
        const { first, between } = engine.latencyOf(request);
        const artifacts = [modelArtifactKey(request.model), ...(request.adapter === undefined ? [] : [adapterArtifactKey(request.adapter)])];
        const usedCopies = artifacts.flatMap(artifact => engine.copies.get(artifact) ?? []);
        engine.active++;
        usedCopies.forEach(copy => {
            copy.active++;
            copy.lastUsedAt = this.now;
        });
        const latencyToFirstTokenMs = this.now + first - request.at;
        this.firstTokenTimes.recordValue(Math.min(119_000, Math.round(latencyToFirstTokenMs)));
        this.schedule(this.now + first + between * request.tokens, () => {
            engine.active--;
            usedCopies.forEach(copy => copy.active--);
            if (latencyToFirstTokenMs <= firstTokenTargetMs && between <= betweenTokensTargetMs && !engine.isLost) {
                this.withinTargetCount++;
            }
            engine.queue.shift()?.();
        });
    }
}

import type { RunnerTraffic } from "../src/core/chooseRunner";
import { ConfigStore } from "../src/core/configStore";
import { decide, DecisionKind } from "../src/core/decisions";
import { createOffers } from "../src/core/offers";
import { RequestRateMeter } from "../src/core/requestRateMeter";
import { RecordKind } from "../src/types/config";
import { ReservationState } from "../src/types/memoryReservation";
import type { PlannedRunner } from "../src/types/plan";
import { StepKind } from "../src/types/plan";
import type { EngineReport } from "../src/types/report";
import { VmKind, VmState } from "../src/types/vm";
import { getOrCreate } from "../src/utils/maps";
import { pick } from "../src/utils/random";
import type { Policy, PolicySimulation } from "./policySimulation";
import { adapterArtifactKey, artifactMemoryMiB, modelArtifactKey, modelMemoryMiB, runnerMemoryMiB } from "./policySimulation";
import type { PolicySimulationEngine, SimulatedRequest } from "./policySimulationEngine";
import { deploymentOf, Scenario } from "./policyWorkloads";

const drainDelayMs = 8_000;
const copyRate = 1;
const reportLagMs = 15_000;

const artifactsOf = (
    { model, adapter }: SimulatedRequest,
): readonly string[] => [modelArtifactKey(model), ...(adapter === undefined ? [] : [adapterArtifactKey(adapter)])];
const canServe = (sim: PolicySimulation, engine: PolicySimulationEngine, request: SimulatedRequest): boolean =>
    artifactsOf(request).every(artifact => engine.isResident(artifact, sim.now));

/** Evicts the least recently used copies until the artifact fits, then loads it. */
const loadEvictingLru = (sim: PolicySimulation, engine: PolicySimulationEngine, artifact: string, mayEvict: (other: string) => boolean): boolean => {
    const byLastUse = [...engine.copies].filter(([other, { active }]) => active === 0 && mayEvict(other)).sort(([, a], [, b]) => a.lastUsedAt - b.lastUsedAt);
    while (engine.freeMiB < artifactMemoryMiB(artifact) && byLastUse.length > 0) {
        sim.evict(engine, byLastUse.shift()![0]);
    }
    return sim.load(engine, artifact);
};
const isAdapter = (artifact: string): boolean => artifact.startsWith("adapter:");

/** Baseline: places models on the runners once, until memory is full, and routes each request to a random runner that has the model. */
export const createStaticPolicy = (): Policy => ({
    name: "static spread, random",
    tick: sim => {
        if (sim.now > 0) {
            return;
        }
        const reserveMiB = 4_000;
        for (let copy = 0; copy < 3; copy++) {
            for (let model = 0; model < sim.workload.models; model++) {
                const withMemory = sim.engines.filter(engine =>
                    engine.deployment === deploymentOf(sim.workload, model) && !engine.copies.has(modelArtifactKey(model)) &&
                    engine.freeMiB >= modelMemoryMiB(model) + reserveMiB
                );
                const mostFree = withMemory.sort((a, b) => b.freeMiB - a.freeMiB)[0];
                if (mostFree) {
                    sim.load(mostFree, modelArtifactKey(model));
                }
            }
        }
    },
    route: (sim, request) => {
        const candidates = sim.reachableEngines(request.zone, request.model).filter(engine => engine.isResident(modelArtifactKey(request.model), sim.now));
        const engine = pick(candidates, sim.random);
        if (engine && request.adapter !== undefined && !engine.copies.has(adapterArtifactKey(request.adapter))) {
            loadEvictingLru(sim, engine, adapterArtifactKey(request.adapter), isAdapter);
        }
        return engine && canServe(sim, engine, request) ? engine : undefined;
    },
});

/** Baseline: routes to the least loaded runner of the deployment; missing artifacts are loaded there, with LRU eviction. */
export const createLeastLoadPolicy = (): Policy => ({
    name: "least load, LRU",
    tick: () => undefined,
    route: (sim, request) => {
        const byLoad = [...sim.reachableEngines(request.zone, request.model)].sort((a, b) => a.active + a.queue.length - b.active - b.queue.length);
        const ready = byLoad.find(engine => canServe(sim, engine, request) && engine.active < engine.slots);
        if (ready) {
            return ready;
        }
        const isLoading = byLoad.some(engine =>
            engine.copies.has(modelArtifactKey(request.model)) && !engine.isResident(modelArtifactKey(request.model), sim.now)
        );
        const target = byLoad.find(engine => engine.isResident(modelArtifactKey(request.model), sim.now)) ?? byLoad[0];
        for (const artifact of target && !isLoading ? artifactsOf(request) : []) {
            if (!target!.copies.has(artifact)) {
                loadEvictingLru(sim, target!, artifact, other => other !== modelArtifactKey(request.model));
            }
        }
        return undefined;
    },
});

/** The decision code of jackdawtrail (offers, planner and routing), fed with reports that lag behind the engines. */
export class JackdawtrailPolicy implements Policy {
    readonly name = "jackdawtrail";
    private readonly config = ConfigStore.create();
    private readonly demandMeters = new Map<string, RequestRateMeter>();
    private readonly drainStartedAt = new Map<string, number>();
    private readonly reports = new Map<string, { report: EngineReport; at: number; }>();
    private readonly traffic = new Map<string, { inFlight: number; limit: number; firstTokenMs: number; }>();
    private now = 0;
    private sequence = 0;

    constructor(sim: Pick<PolicySimulation, "workload">) {
        const { models, adapters } = sim.workload;
        const records = [
            ...[...Array(models).keys()].map(model => ({
                kind: RecordKind.Model,
                name: `m${model}`,
                memoryMiB: modelMemoryMiB(model),
                deployment: deploymentOf(sim.workload, model),
            })),
            ...[...Array(adapters).keys()].map(adapter => ({
                kind: RecordKind.Adapter,
                name: `a${adapter}`,
                memoryMiB: artifactMemoryMiB("adapter:"),
                model: `m${adapter % models}`,
            })),
        ];
        this.config.applyChanges(
            records.map((record, index) => ({
                kind: record.kind,
                name: record.name,
                sequence: index + 1,
                operationId: "b",
                at: 0,
                record: { schemaVersion: 2, version: "1", ...record },
            })),
        );
    }

    tick(sim: PolicySimulation): void {
        this.now = sim.now;
        const lagMs = sim.scenario === Scenario.LaggingReports ? reportLagMs : 1_000;
        for (const engine of sim.engines) {
            if (sim.now - (this.reports.get(engine.id)?.at ?? -Infinity) >= lagMs && !engine.isLost) {
                this.reports.set(engine.id, { report: engine.report(sim.now, ++this.sequence), at: sim.now });
            }
        }
        if (sim.scenario === Scenario.TableOutage && sim.isFaultActive()) {
            return;
        }
        sim.workload.zones.forEach(zone => this.runZoneController(sim, zone));
    }

    route(sim: PolicySimulation, request: SimulatedRequest): PolicySimulationEngine | undefined {
        this.now = sim.now;
        if (sim.now === request.at) {
            artifactsOf(request).forEach(artifact => this.meterOf(request.zone).count(artifact));
        }
        const candidates = sim.reachableEngines(request.zone, request.model).filter(engine =>
            canServe(sim, engine, request) && engine.active < engine.slots * 2
        );
        const runners = candidates.map(engine => ({
            ...this.runnerStateOf(engine),
            report: { ...this.reports.get(engine.id)!.report, residencies: engine.report(sim.now, 0).residencies },
            reportAgeMs: sim.now - this.reports.get(engine.id)!.at,
            draining: artifactsOf(request).filter(artifact => this.drainStartedAt.has(`${engine.id} ${artifact}`)),
        }));
        const traffic = Object.fromEntries(candidates.map(engine => [engine.id, this.trafficOf(engine)]));
        const requirements = {
            deployment: deploymentOf(sim.workload, request.model),
            artifacts: artifactsOf(request),
            availabilityZone: request.zone,
            avoid: [],
            prefixHints: [],
        };
        const id = decide(DecisionKind.Route, { runners, need: requirements, traffic, draws: [sim.random(), sim.random()] });
        return candidates.find(engine => engine.id === id);
    }

    /** Requests in flight as a node counts them. One count stands for all nodes of the zones, since their load balancer distributes callers evenly. */
    private trafficOf(engine: PolicySimulationEngine): RunnerTraffic {
        const traffic = getOrCreate(this.traffic, engine.id, () => ({ inFlight: 0, limit: 64, firstTokenMs: 90 }));
        traffic.inFlight = engine.active + engine.queue.length;
        return traffic;
    }

    private meterOf(zone: string): RequestRateMeter {
        return getOrCreate(this.demandMeters, zone, () => RequestRateMeter.create(() => this.now));
    }

    private runnerStateOf(engine: PolicySimulationEngine) {
        const vm = { id: engine.id, kind: VmKind.Runner, state: VmState.Live, availabilityZone: engine.zone, url: "", group: engine.deployment };
        return { vm, leaving: engine.isLost };
    }

    private runZoneController(sim: PolicySimulation, zone: string): void {
        const { zones, runners } = sim.workload;
        const rates = new Map(zones.map(other => [other, this.meterOf(other).rates()]));
        const offers = createOffers({
            config: this.config,
            availabilityZone: zone,
            zonesByDeployment: new Map(
                Object.keys(runners).map(deployment => [
                    deployment,
                    zones.filter(other => sim.engines.some(engine => engine.zone === other && engine.deployment === deployment)),
                ]),
            ),
            capacityOf: (other, deployment) =>
                sim.engines.filter(engine => engine.zone === other && engine.deployment === deployment && !engine.isLost).length * runnerMemoryMiB,
            demandOf: (other, artifact) => rates.get(other)![artifact] ?? 0,
            hasConfirmedCopy: (other, artifact) =>
                sim.engines.some(engine =>
                    engine.zone === other && !engine.isLost && engine.isResident(artifact, sim.now) && !this.drainStartedAt.has(`${engine.id} ${artifact}`)
                ),
        });
        const zoneEngines = sim.engines.filter(engine => engine.zone === zone && !engine.isLost);
        const plannedRunners = zoneEngines.map(engine => this.createPlannedRunner(sim, engine));
        const steps = decide(DecisionKind.Plan, { runners: plannedRunners, offers, weights: { copyRate, moveCost: sim.workload.moveCost, maxSteps: 64 } });
        for (const { kind, runner, artifact } of steps) {
            const engine = zoneEngines.find(({ id }) => id === runner)!;
            const key = `${runner} ${artifact}`;
            const handlers: Readonly<Record<StepKind, () => void>> = {
                [StepKind.Load]: () => void sim.load(engine, artifact),
                [StepKind.Drain]: () => void this.drainStartedAt.set(key, sim.now),
                [StepKind.Keep]: () => void this.drainStartedAt.delete(key),
                [StepKind.Unload]: () => sim.evict(engine, artifact) && void this.drainStartedAt.delete(key),
            };
            handlers[kind]();
        }
    }

    private createPlannedRunner(sim: PolicySimulation, engine: PolicySimulationEngine): PlannedRunner {
        const report = engine.report(sim.now, 0);
        const entries = [...engine.copies].map(([artifact, { memoryMiB, readyAt }]) => {
            const resident = readyAt <= sim.now ? ReservationState.Resident : ReservationState.Loading;
            return {
                artifact,
                memoryMiB,
                state: this.drainStartedAt.has(`${engine.id} ${artifact}`) ? ReservationState.Draining : resident,
                orderId: "",
                fence: 0,
                holder: "",
                since: 0,
            };
        });
        const isDrained = (artifact: string) =>
            sim.now - (this.drainStartedAt.get(`${engine.id} ${artifact}`) ?? Infinity) >= drainDelayMs && engine.copies.get(artifact)!.active === 0;
        return {
            ...this.runnerStateOf(engine),
            row: { runner: engine.id, incarnation: "1", memoryMiB: engine.memoryMiB, entries },
            report,
            cost: 1,
            stuck: [],
            drained: entries.map(({ artifact }) => artifact).filter(isDrained),
        };
    }
}

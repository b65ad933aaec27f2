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
const laggingMs = 15_000;

const artifactsOf = (
    { model, adapter }: SimulatedRequest,
): readonly string[] => [modelArtifactKey(model), ...(adapter === undefined ? [] : [adapterArtifactKey(adapter)])];
const canServe = (sim: PolicySimulation, engine: PolicySimulationEngine, request: SimulatedRequest): boolean =>
    artifactsOf(request).every(artifact => engine.isResident(artifact, sim.now));

/** Makes room by evicting what was used longest ago, then loads. */
const loadWithLru = (sim: PolicySimulation, engine: PolicySimulationEngine, artifact: string, isVictim: (other: string) => boolean): boolean => {
    const byUse = [...engine.copies].filter(([other, { active }]) => active === 0 && isVictim(other)).sort(([, a], [, b]) => a.usedAt - b.usedAt);
    while (engine.freeMiB < artifactMemoryMiB(artifact) && byUse.length > 0) {
        sim.evict(engine, byUse.shift()![0]);
    }
    return sim.load(engine, artifact);
};
const isAdapterName = (artifact: string): boolean => artifact.startsWith("adapter:");

/** Baseline: models dealt out once over the runners until memory is full, a random holder for each request. */
export const createStaticPolicy = (): Policy => ({
    name: "static spread, random",
    tick: sim => {
        if (sim.now > 0) {
            return;
        }
        const reserveMiB = 4_000;
        for (let copy = 0; copy < 3; copy++) {
            for (let model = 0; model < sim.workload.models; model++) {
                const able = sim.engines.filter(engine =>
                    engine.deployment === deploymentOf(sim.workload, model) && !engine.copies.has(modelArtifactKey(model)) &&
                    engine.freeMiB >= modelMemoryMiB(model) + reserveMiB
                );
                const roomiest = able.sort((a, b) => b.freeMiB - a.freeMiB)[0];
                if (roomiest) {
                    sim.load(roomiest, modelArtifactKey(model));
                }
            }
        }
    },
    route: (sim, request) => {
        const holders = sim.reachableEngines(request.zone, request.model).filter(engine => engine.isResident(modelArtifactKey(request.model), sim.now));
        const engine = pick(holders, sim.random);
        if (engine && request.adapter !== undefined && !engine.copies.has(adapterArtifactKey(request.adapter))) {
            loadWithLru(sim, engine, adapterArtifactKey(request.adapter), isAdapterName);
        }
        return engine && canServe(sim, engine, request) ? engine : undefined;
    },
});

/** Baseline: the least loaded runner of the deployment; what it lacks is loaded there, evicting what was used longest ago. */
export const createLeastLoadPolicy = (): Policy => ({
    name: "least load, LRU",
    tick: () => undefined,
    route: (sim, request) => {
        const able = [...sim.reachableEngines(request.zone, request.model)].sort((a, b) => a.active + a.queue.length - b.active - b.queue.length);
        const ready = able.find(engine => canServe(sim, engine, request) && engine.active < engine.slots);
        if (ready) {
            return ready;
        }
        const isComing = able.some(engine =>
            engine.copies.has(modelArtifactKey(request.model)) && !engine.isResident(modelArtifactKey(request.model), sim.now)
        );
        const target = able.find(engine => engine.isResident(modelArtifactKey(request.model), sim.now)) ?? able[0];
        for (const artifact of target && !isComing ? artifactsOf(request) : []) {
            if (!target!.copies.has(artifact)) {
                loadWithLru(sim, target!, artifact, other => other !== modelArtifactKey(request.model));
            }
        }
        return undefined;
    },
});

/** The decision code of jackdawtrail: offers, planner and routing, with reports that lag. */
export class JackdawtrailPolicy implements Policy {
    readonly name = "jackdawtrail";
    private readonly config = ConfigStore.create();
    private readonly meters = new Map<string, RequestRateMeter>();
    private readonly drains = new Map<string, number>();
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
            records.map((record, at) => ({
                kind: record.kind,
                name: record.name,
                sequence: at + 1,
                operationId: "b",
                at: 0,
                record: { schemaVersion: 2, version: "1", ...record },
            })),
        );
    }

    tick(sim: PolicySimulation): void {
        this.now = sim.now;
        const lagMs = sim.scenario === Scenario.LaggingReports ? laggingMs : 1_000;
        for (const engine of sim.engines) {
            if (sim.now - (this.reports.get(engine.id)?.at ?? -Infinity) >= lagMs && !engine.isLost) {
                this.reports.set(engine.id, { report: engine.report(sim.now, ++this.sequence), at: sim.now });
            }
        }
        if (sim.scenario === Scenario.TableOutage && sim.isFaultActive()) {
            return;
        }
        sim.workload.zones.forEach(zone => this.steward(sim, zone));
    }

    route(sim: PolicySimulation, request: SimulatedRequest): PolicySimulationEngine | undefined {
        this.now = sim.now;
        if (sim.now === request.at) {
            artifactsOf(request).forEach(artifact => this.meterOf(request.zone).count(artifact));
        }
        const holders = sim.reachableEngines(request.zone, request.model).filter(engine => canServe(sim, engine, request) && engine.active < engine.slots * 2);
        const runners = holders.map(engine => ({
            ...this.view(engine),
            report: { ...this.reports.get(engine.id)!.report, residencies: engine.report(sim.now, 0).residencies },
            reportAgeMs: sim.now - this.reports.get(engine.id)!.at,
            draining: artifactsOf(request).filter(artifact => this.drains.has(`${engine.id} ${artifact}`)),
        }));
        const traffic = Object.fromEntries(holders.map(engine => [engine.id, this.trafficOf(engine)]));
        const need = {
            deployment: deploymentOf(sim.workload, request.model),
            artifacts: artifactsOf(request),
            availabilityZone: request.zone,
            avoid: [],
            prefixHints: [],
        };
        const id = decide(DecisionKind.Route, { runners, need, traffic, draws: [sim.random(), sim.random()] });
        return holders.find(engine => engine.id === id);
    }

    /** The nodes' own requests in flight: here one view of all nodes of the zones, as their balancer spreads callers evenly. */
    private trafficOf(engine: PolicySimulationEngine): RunnerTraffic {
        const traffic = getOrCreate(this.traffic, engine.id, () => ({ inFlight: 0, limit: 64, firstTokenMs: 90 }));
        traffic.inFlight = engine.active + engine.queue.length;
        return traffic;
    }

    private meterOf(zone: string): RequestRateMeter {
        return getOrCreate(this.meters, zone, () => RequestRateMeter.create(() => this.now));
    }

    private view(engine: PolicySimulationEngine) {
        const vm = { id: engine.id, kind: VmKind.Runner, state: VmState.Live, availabilityZone: engine.zone, url: "", group: engine.deployment };
        return { vm, leaving: engine.isLost };
    }

    private steward(sim: PolicySimulation, zone: string): void {
        const { zones, runners } = sim.workload;
        const rates = new Map(zones.map(other => [other, this.meterOf(other).rates()]));
        const offers = createOffers({
            config: this.config,
            availabilityZone: zone,
            zonesByDeployment: new Map(
                Object.keys(runners).map(group => [
                    group,
                    zones.filter(other => sim.engines.some(engine => engine.zone === other && engine.deployment === group)),
                ]),
            ),
            capacityOf: (other, group) =>
                sim.engines.filter(engine => engine.zone === other && engine.deployment === group && !engine.isLost).length * runnerMemoryMiB,
            demandOf: (other, artifact) => rates.get(other)![artifact] ?? 0,
            hasConfirmedCopy: (other, artifact) =>
                sim.engines.some(engine =>
                    engine.zone === other && !engine.isLost && engine.isResident(artifact, sim.now) && !this.drains.has(`${engine.id} ${artifact}`)
                ),
        });
        const own = sim.engines.filter(engine => engine.zone === zone && !engine.isLost);
        const planned = own.map(engine => this.planned(sim, engine));
        const steps = decide(DecisionKind.Plan, { runners: planned, offers, weights: { copyRate, moveCost: sim.workload.moveCost, maxSteps: 64 } });
        for (const { kind, runner, artifact } of steps) {
            const engine = own.find(({ id }) => id === runner)!;
            const key = `${runner} ${artifact}`;
            const handlers: Readonly<Record<StepKind, () => void>> = {
                [StepKind.Load]: () => void sim.load(engine, artifact),
                [StepKind.Drain]: () => void this.drains.set(key, sim.now),
                [StepKind.Keep]: () => void this.drains.delete(key),
                [StepKind.Unload]: () => sim.evict(engine, artifact) && void this.drains.delete(key),
            };
            handlers[kind]();
        }
    }

    private planned(sim: PolicySimulation, engine: PolicySimulationEngine): PlannedRunner {
        const report = engine.report(sim.now, 0);
        const entries = [...engine.copies].map(([artifact, { memoryMiB, readyAt }]) => {
            const resident = readyAt <= sim.now ? ReservationState.Resident : ReservationState.Loading;
            return {
                artifact,
                memoryMiB,
                state: this.drains.has(`${engine.id} ${artifact}`) ? ReservationState.Draining : resident,
                orderId: "",
                fence: 0,
                holder: "",
                since: 0,
            };
        });
        const isDrained = (artifact: string) =>
            sim.now - (this.drains.get(`${engine.id} ${artifact}`) ?? Infinity) >= drainDelayMs && engine.copies.get(artifact)!.active === 0;
        return {
            ...this.view(engine),
            row: { runner: engine.id, incarnation: "1", memoryMiB: engine.memoryMiB, entries },
            report,
            cost: 1,
            stuck: [],
            drained: entries.map(({ artifact }) => artifact).filter(isDrained),
        };
    }
}

import type { NodeContext } from "../node/context";
import { NodeStage } from "../node/context";
import type { DigestDemand, DigestLoad, DigestReports, NodeState, ZoneState } from "../types/nodeDigest";
import { DigestName } from "../types/nodeDigest";
import type { EngineReport } from "../types/report";
import { VmKind, VmState } from "../types/vm";
import { ownerOf } from "../utils/hash";
import { isZoneOrigin, zoneOrigin } from "./digestStore";

/** Loads are told this often inside the zone; in between, a node goes by its own requests in flight. */
const loadIntervalMs = 5_000;
/** Demand is told this often; a request that waits for a copy is told at once. */
const demandIntervalMs = 20_000;
/** Loads are told this often to other zones. */
const zoneLoadIntervalMs = 30_000;
/** Artifacts of which a node tells the demand, most demanded first. */
const maxDemanded = 16;

/** Says when a part is due: when it has changed, and not more often than its interval. */
class PartGate {
    private lastText = "";
    private lastAt = -Infinity;

    private constructor(private readonly intervalMs: number) {}

    static create(intervalMs = 0): PartGate {
        return new PartGate(intervalMs);
    }

    /** Whether the value must be told now. */
    isDue(value: unknown, isUrgent = false): boolean {
        const text = JSON.stringify(value);
        if (text === this.lastText || (!isUrgent && performance.now() - this.lastAt < this.intervalMs)) {
            return false;
        }
        this.lastText = text;
        this.lastAt = performance.now();
        return true;
    }
}

/** What of a report decides routes and placements beyond load; the rest changes at every report. */
const residencyOf = ({ incarnation, memoryMiB, slots, leaving, residencies }: EngineReport) => ({
    incarnation,
    memoryMiB,
    slots,
    leaving,
    residencies: residencies.map(({ artifact, state }) => [artifact, state]),
});

const loadOf = (reports: ReadonlyMap<string, EngineReport>): DigestLoad =>
    Object.fromEntries([...reports].map(([runner, { active, queued }]) => [runner, [active, queued]]));

/** Publishes what a node tells its peers, and what the zone tells other zones where this node speaks for it. */
export class DigestPublisher {
    private readonly gates = {
        node: PartGate.create(),
        reports: PartGate.create(),
        load: PartGate.create(loadIntervalMs),
        demand: PartGate.create(demandIntervalMs),
        zone: PartGate.create(),
        zoneLoad: PartGate.create(zoneLoadIntervalMs),
        zoneDemand: PartGate.create(demandIntervalMs),
    };
    private readonly runnerGates = new Map<string, PartGate>();

    private constructor(private readonly node: NodeContext) {}

    /** Makes the publisher of a node. */
    static create(node: NodeContext): DigestPublisher {
        return new DigestPublisher(node);
    }

    /** Publishes what has changed. */
    publish(): void {
        const { node, gates } = this;
        const state = this.nodeState();
        if (gates.node.isDue(state)) {
            node.digests.publish(DigestName.Node, state);
        }
        if (gates.reports.isDue([...node.reports].map(([runner, report]) => [runner, residencyOf(report)]))) {
            node.digests.publish(DigestName.Reports, Object.fromEntries(node.reports) satisfies DigestReports);
        }
        const load = loadOf(node.reports);
        if (gates.load.isDue(load)) {
            node.digests.publish(DigestName.Load, load);
        }
        const demand = this.topDemand();
        // A request that waits for a copy makes its demand known at once.
        if (gates.demand.isDue(demand, node.queue.length > 0)) {
            node.digests.publish(DigestName.Demand, demand);
        }
        if (this.speaksForZone()) {
            this.publishZone();
        }
    }

    private nodeState(): NodeState {
        const { cfg, incarnation, stage, config, drains, fleet } = this.node;
        return {
            id: cfg.nodeId,
            incarnation,
            availabilityZone: cfg.availabilityZone,
            url: cfg.advertiseUrl,
            stopping: stage === NodeStage.Stopping,
            configSequence: config.sequence,
            drains,
            leaving: fleet.observedLeaving,
        };
    }

    private topDemand(): DigestDemand {
        return Object.fromEntries(
            Object.entries(this.node.demand.rates()).sort(([, a], [, b]) => b - a).slice(0, maxDemanded).map((
                [artifact, rate],
            ) => [artifact, Number(rate.toPrecision(1))]),
        );
    }

    private speaksForZone(): boolean {
        const { cfg, fleet } = this.node;
        const live = fleet.vmsOf(VmKind.Node).filter(vm => vm.availabilityZone === cfg.availabilityZone && vm.state === VmState.Live);
        return ownerOf("zone digest", live.map(vm => vm.id)) === cfg.nodeId;
    }

    private publishZone(): void {
        const { node, gates } = this;
        const { availabilityZone, advertiseUrl } = node.cfg;
        const origin = zoneOrigin(availabilityZone);
        const states = node.digests.values<NodeState>(DigestName.Node).map(({ value }) => value);
        const state: ZoneState = {
            availabilityZone,
            url: advertiseUrl,
            nodes: states.length,
            configSequence: Math.min(...states.map(other => other.configSequence)),
            drains: states.flatMap(other => other.drains),
            leaving: [...new Set(states.flatMap(other => other.leaving))],
        };
        if (gates.zone.isDue(state)) {
            node.digests.publish(DigestName.Zone, state, origin);
        }
        const reports = new Map(
            node.fleet.runners().flatMap(({ vm, report }) => report && vm.availabilityZone === availabilityZone ? [[vm.id, report] as const] : []),
        );
        for (const [runner, report] of reports) {
            const gate = this.runnerGates.get(runner) ?? PartGate.create();
            this.runnerGates.set(runner, gate);
            // One part a runner: a move in one of them does not tell all of them again.
            if (gate.isDue(residencyOf(report))) {
                node.digests.publish(`${DigestName.Reports} ${runner}`, { [runner]: report } satisfies DigestReports, origin);
            }
        }
        const load = loadOf(reports);
        if (gates.zoneLoad.isDue(load)) {
            node.digests.publish(DigestName.Load, load, origin);
        }
        const demand = this.unservedDemand();
        if (gates.zoneDemand.isDue(demand)) {
            node.digests.publish(DigestName.Demand, demand, origin);
        }
    }

    /** Demand for what the zone does not hold: the zone at home serves it. */
    private unservedDemand(): DigestDemand {
        const { availabilityZone } = this.node.cfg;
        const demand: Record<string, number> = {};
        for (const { origin, value } of this.node.digests.values<DigestDemand>(DigestName.Demand)) {
            for (const [artifact, rate] of isZoneOrigin(origin) ? [] : Object.entries(value)) {
                if (!this.node.fleet.residentRunners(artifact).some(({ vm }) => vm.availabilityZone === availabilityZone)) {
                    demand[artifact] = Number(((demand[artifact] ?? 0) + rate).toPrecision(2));
                }
            }
        }
        return demand;
    }
}

import type { NodeContext } from "../node/context";
import { NodeStage } from "../node/context";
import type { DigestDemand, DigestLoad, DigestReports, NodeState, ZoneState } from "../types/nodeDigest";
import { DigestName } from "../types/nodeDigest";
import type { EngineReport } from "../types/report";
import { VmKind, VmState } from "../types/vm";
import { ownerOf } from "../utils/hash";
import { isZoneOrigin, zoneOrigin } from "./digestStore";

/** Shortest interval between load updates within the zone; between them, a node uses its own count of requests in flight. */
const loadIntervalMs = 5_000;
/** Shortest interval between demand updates; demand is published at once while a request waits for a copy. */
const demandIntervalMs = 20_000;
/** Shortest interval between load updates to other zones. */
const zoneLoadIntervalMs = 30_000;
/** Number of artifacts whose demand a node publishes, highest demand first. */
const maxDemandArtifacts = 16;

/** Limits the updates of a digest part: only when it has changed, and at most once per interval. */
class PublishThrottle {
    private lastText = "";
    private lastAt = -Infinity;

    private constructor(private readonly intervalMs: number) {}

    static create(intervalMs = 0): PublishThrottle {
        return new PublishThrottle(intervalMs);
    }

    /** Whether the value must be published now; if so, it counts as published. Urgent values ignore the interval. */
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

/** The fields of a report, besides load, that routing and placement depend on; the others change with every report. */
const placementFieldsOf = ({ incarnation, memoryMiB, slots, leaving, residencies }: EngineReport) => ({
    incarnation,
    memoryMiB,
    slots,
    leaving,
    residencies: residencies.map(({ artifact, state }) => [artifact, state]),
});

const loadOf = (reports: ReadonlyMap<string, EngineReport>): DigestLoad =>
    Object.fromEntries([...reports].map(([runner, { active, queued }]) => [runner, [active, queued]]));

/** Publishes a node's digest parts to its peers and, on the node that represents the zone, the zone's parts to other zones. */
export class DigestPublisher {
    private readonly throttles = {
        node: PublishThrottle.create(),
        reports: PublishThrottle.create(),
        load: PublishThrottle.create(loadIntervalMs),
        demand: PublishThrottle.create(demandIntervalMs),
        zone: PublishThrottle.create(),
        zoneLoad: PublishThrottle.create(zoneLoadIntervalMs),
        zoneDemand: PublishThrottle.create(demandIntervalMs),
    };
    private readonly runnerThrottles = new Map<string, PublishThrottle>();

    private constructor(private readonly node: NodeContext) {}

    /** Creates the publisher of a node. */
    static create(node: NodeContext): DigestPublisher {
        return new DigestPublisher(node);
    }

    /** Publishes the parts that have changed. */
    publish(): void {
        const { node, throttles } = this;
        const state = this.nodeState();
        if (throttles.node.isDue(state)) {
            node.digests.publish(DigestName.Node, state);
        }
        if (throttles.reports.isDue([...node.reports].map(([runner, report]) => [runner, placementFieldsOf(report)]))) {
            node.digests.publish(DigestName.Reports, Object.fromEntries(node.reports) satisfies DigestReports);
        }
        const load = loadOf(node.reports);
        if (throttles.load.isDue(load)) {
            node.digests.publish(DigestName.Load, load);
        }
        const demand = this.topDemand();
        // Demand is published at once while a request waits for a copy.
        if (throttles.demand.isDue(demand, node.queue.length > 0)) {
            node.digests.publish(DigestName.Demand, demand);
        }
        if (this.representsZone()) {
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
            Object.entries(this.node.demand.rates()).sort(([, a], [, b]) => b - a).slice(0, maxDemandArtifacts).map((
                [artifact, rate],
            ) => [artifact, Number(rate.toPrecision(1))]),
        );
    }

    private representsZone(): boolean {
        const { cfg, fleet } = this.node;
        const live = fleet.vmsOf(VmKind.Node).filter(vm => vm.availabilityZone === cfg.availabilityZone && vm.state === VmState.Live);
        return ownerOf("zone digest", live.map(vm => vm.id)) === cfg.nodeId;
    }

    private publishZone(): void {
        const { node, throttles } = this;
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
        if (throttles.zone.isDue(state)) {
            node.digests.publish(DigestName.Zone, state, origin);
        }
        const reports = new Map(
            node.fleet.runners().flatMap(({ vm, report }) => report && vm.availabilityZone === availabilityZone ? [[vm.id, report] as const] : []),
        );
        for (const [runner, report] of reports) {
            const throttle = this.runnerThrottles.get(runner) ?? PublishThrottle.create();
            this.runnerThrottles.set(runner, throttle);
            // One part for each runner, so that a change on one does not publish the others again.
            if (throttle.isDue(placementFieldsOf(report))) {
                node.digests.publish(`${DigestName.Reports} ${runner}`, { [runner]: report } satisfies DigestReports, origin);
            }
        }
        const load = loadOf(reports);
        if (throttles.zoneLoad.isDue(load)) {
            node.digests.publish(DigestName.Load, load, origin);
        }
        const demand = this.unservedDemand();
        if (throttles.zoneDemand.isDue(demand)) {
            node.digests.publish(DigestName.Demand, demand, origin);
        }
    }

    /** Demand for artifacts that are not resident in this zone; their home zone serves it. */
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

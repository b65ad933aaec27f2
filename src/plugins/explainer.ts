import { adapterArtifact, modelArtifact } from "../core/artifacts";
import { raise } from "../core/failures";
import { gatherOfferInputs } from "../core/offers";
import type { NodeContext } from "../node/context";
import { RecordKind } from "../types/config";
import { EventId } from "../types/eventId";
import { FailureKind } from "../types/failureKind";
import type { DigestDemand, NodeState, ZoneState } from "../types/nodeDigest";
import { DigestName } from "../types/nodeDigest";
import { observeEvents } from "../utils/events";
import { rankByHash } from "../utils/hash";

/** Number of recent requests whose events a node keeps. */
const maxRequests = 1_000;

type EventFields = Readonly<Record<string, unknown>>;

/** Reports the node's state and explains placements and requests to operators. */
export interface Explainer {
    status(): unknown;
    /** Explains `model NAME`, `adapter NAME` or `request ID`. */
    explain(path: readonly string[]): unknown;
}

const explainArtifact = (node: NodeContext, artifact: string, deployment: string): unknown => {
    const inputs = gatherOfferInputs(node);
    const zones = rankByHash(artifact, inputs.zonesByDeployment.get(deployment) ?? []);
    return {
        artifact,
        deployment,
        // What determines the placement: the zones in the order in which copies are assigned to them, and the demand that adds copies.
        zonesInOrder: zones,
        demandByZone: Object.fromEntries(zones.map(zone => [zone, inputs.demandOf(zone, artifact)])),
        copies: node.fleet.residentRunners(artifact).map(({ vm, reportAgeMs, leaving, draining }) => ({
            runner: vm.id,
            availabilityZone: vm.availabilityZone,
            reportAgeMs: Math.round(reportAgeMs),
            leaving,
            draining: draining.includes(artifact),
        })),
    };
};

/** Creates an explainer, which keeps the events of the most recent requests. */
export const createExplainer = (node: NodeContext): Explainer => {
    const eventsByRequest = new Map<string, { event: EventId; name: string; fields: EventFields; }[]>();
    observeEvents((event, fields) => {
        if (typeof fields.request !== "string") {
            return;
        }
        const events = eventsByRequest.get(fields.request) ?? [];
        eventsByRequest.set(fields.request, [...events, { event, name: EventId[event], fields }]);
        if (eventsByRequest.size > maxRequests) {
            eventsByRequest.delete(eventsByRequest.keys().next().value!);
        }
    });
    const explainers: Readonly<Record<string, (name: string) => unknown>> = {
        model: name => {
            const model = node.config.get(RecordKind.Model, name) ?? raise(FailureKind.UnknownRecord, `model/${name}`);
            return explainArtifact(node, modelArtifact(model), model.deployment);
        },
        adapter: name => {
            const adapter = node.config.get(RecordKind.Adapter, name) ?? raise(FailureKind.UnknownRecord, `adapter/${name}`);
            const model = node.config.get(RecordKind.Model, adapter.model) ?? raise(FailureKind.UnknownRecord, `model/${adapter.model}`);
            return explainArtifact(node, adapterArtifact(adapter), model.deployment);
        },
        request: id => ({ request: id, events: eventsByRequest.get(id) ?? raise(FailureKind.UnknownRecord, `this node has no events of request ${id}`) }),
    };
    return {
        status: () => ({
            node: node.cfg.nodeId,
            availabilityZone: node.cfg.availabilityZone,
            stage: node.stage,
            configSequence: node.config.sequence,
            requestsInProgress: node.inProgress,
            requestsQueued: node.queue.length,
            nodes: node.digests.values<NodeState>(DigestName.Node).map(({ value, ageMs }) => ({ ...value, ageMs: Math.round(ageMs) })),
            runners: node.fleet.runners().map(({ vm, report, reportAgeMs, leaving, draining }) => ({
                ...vm,
                leaving,
                draining,
                reportAgeMs: Number.isFinite(reportAgeMs) ? Math.round(reportAgeMs) : undefined,
                report,
            })),
            zones: node.digests.values<ZoneState>(DigestName.Zone).map(({ value, ageMs }) => ({ ...value, ageMs: Math.round(ageMs) })),
            demand: node.digests.values<DigestDemand>(DigestName.Demand).map(({ origin, value }) => ({ origin, rates: value })),
        }),
        explain: ([subject, name]) => {
            const explainer = explainers[subject ?? ""] ??
                raise(FailureKind.BadRequest, `the subject to explain must be one of ${Object.keys(explainers).join(", ")}`);
            return explainer(name ?? "");
        },
    };
};

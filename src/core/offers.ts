import type { NodeContext } from "../node/context";
import { RecordKind } from "../types/config";
import type { DigestDemand } from "../types/nodeDigest";
import { DigestName } from "../types/nodeDigest";
import type { Offer } from "../types/plan";
import { VmKind } from "../types/vm";
import { rankByHashCached } from "../utils/hash";
import { adapterArtifact, modelArtifact } from "./artifacts";
import type { ConfigStore } from "./configStore";
import { isZoneOrigin, zoneOrigin } from "./digestStore";

/** Inputs for the offers of one availability zone. */
export interface OfferInputs {
    readonly config: ConfigStore;
    readonly availabilityZone: string;
    /** Availability zones with runners, by deployment. */
    readonly zonesByDeployment: ReadonlyMap<string, readonly string[]>;
    /** Memory in MiB of a deployment's runners in a zone. */
    readonly capacityOf: (availabilityZone: string, deployment: string) => number;
    /** Requests per second by zone and artifact. */
    readonly demandOf: (availabilityZone: string, artifact: string) => number;
    /** Whether a zone has a confirmed copy. */
    readonly hasConfirmedCopy: (availabilityZone: string, artifact: string) => boolean;
}

/** Share of a zone's memory that minimum copies may take; the rest is for further copies by demand, adapters and version changes. */
const minCopiesShare = 0.8;

/** Minimum copies of a model by zone. */
type HomeZones = ReadonlyMap<string, number>;

/**
 * Distributes the minimum copies of all models over the zones, in an order of zones that is hashed for each model, skipping zones that are
 * full. Deterministic: every node gets the same home zones from the same records and runners.
 */
const assignHomeZones = ({ config, zonesByDeployment, capacityOf }: OfferInputs): ReadonlyMap<string, HomeZones> => {
    const assigned = new Map<string, HomeZones>();
    const freeMiB = new Map<string, number>();
    const models = [...config.all(RecordKind.Model)].sort((a, b) => a.name < b.name ? -1 : 1);
    for (const model of models) {
        const zones = rankByHashCached(modelArtifact(model), zonesByDeployment.get(model.deployment) ?? []);
        const homeZones = new Map<string, number>();
        for (let copy = 0; copy < model.minCopies && zones.length > 0; copy++) {
            const keyOf = (zone: string) => `${model.deployment} ${zone}`;
            const freeMiBIn = (zone: string) => freeMiB.get(keyOf(zone)) ?? capacityOf(zone, model.deployment) * minCopiesShare;
            const candidates = [...zones.slice(copy % zones.length), ...zones.slice(0, copy % zones.length)];
            const zone = candidates.find(other => freeMiBIn(other) >= model.memoryMiB) ?? candidates[0]!;
            freeMiB.set(keyOf(zone), freeMiBIn(zone) - model.memoryMiB);
            homeZones.set(zone, (homeZones.get(zone) ?? 0) + 1);
        }
        assigned.set(model.name, homeZones);
    }
    return assigned;
};

const createOffer = (
    inputs: OfferInputs,
    artifact: string,
    memoryMiB: number,
    deployment: string,
    homeZones: HomeZones,
    base: string | undefined,
): Offer | undefined => {
    const { availabilityZone, hasConfirmedCopy, demandOf } = inputs;
    const zones = inputs.zonesByDeployment.get(deployment) ?? [];
    if (!zones.includes(availabilityZone)) {
        return undefined;
    }
    const others = zones.filter(zone => zone !== availabilityZone);
    // The first home zone also covers the demand of zones that have no copy of their own.
    const coveredZones = homeZones.keys().next().value === availabilityZone ? others.filter(zone => !hasConfirmedCopy(zone, artifact)) : [];
    return {
        artifact,
        memoryMiB,
        deployment,
        minCopies: homeZones.get(availabilityZone) ?? 0,
        homeHolds: others.some(zone => homeZones.has(zone) && hasConfirmedCopy(zone, artifact)),
        demand: [availabilityZone, ...coveredZones].reduce((sum, zone) => sum + demandOf(zone, artifact), 0),
        base,
    };
};

/** Offers of a zone: each configured model and adapter whose deployment has runners there. An adapter has the first home zone of its model. */
export const createOffers = (inputs: OfferInputs): readonly Offer[] => {
    const homeZonesByModel = assignHomeZones(inputs);
    const models = inputs.config.all(RecordKind.Model).map(model =>
        createOffer(inputs, modelArtifact(model), model.memoryMiB, model.deployment, homeZonesByModel.get(model.name)!, undefined)
    );
    const adapters = inputs.config.all(RecordKind.Adapter).map(adapter => {
        const model = inputs.config.get(RecordKind.Model, adapter.model);
        const firstHomeZone = model && [...homeZonesByModel.get(model.name)!.keys()].slice(0, 1);
        return model &&
            createOffer(
                inputs,
                adapterArtifact(adapter),
                adapter.memoryMiB,
                model.deployment,
                new Map(firstHomeZone!.map(zone => [zone, 1])),
                modelArtifact(model),
            );
    });
    return [...models, ...adapters].filter(offer => offer !== undefined);
};

/** Collects the inputs from a node's fleet view and digests. */
export const gatherOfferInputs = (node: NodeContext): OfferInputs => {
    const zonesByDeployment = new Map<string, string[]>();
    for (const vm of node.fleet.vmsOf(VmKind.Runner)) {
        const zones = zonesByDeployment.get(vm.group ?? "") ?? [];
        if (!zones.includes(vm.availabilityZone)) {
            zones.push(vm.availabilityZone);
        }
        zonesByDeployment.set(vm.group ?? "", zones);
    }
    const demand = new Map<string, number>();
    for (const { origin, value } of node.digests.values<DigestDemand>(DigestName.Demand)) {
        // Digests of nodes count for this zone; the digest of another zone holds the demand that it cannot serve itself.
        const zone = isZoneOrigin(origin) ? origin : zoneOrigin(node.cfg.availabilityZone);
        if (isZoneOrigin(origin) && origin === zoneOrigin(node.cfg.availabilityZone)) {
            continue;
        }
        for (const [artifact, rate] of Object.entries(value)) {
            const key = `${zone} ${artifact}`;
            demand.set(key, (demand.get(key) ?? 0) + rate);
        }
    }
    const capacityMiB = new Map<string, number>();
    for (const { vm, report, leaving } of node.fleet.runners()) {
        const key = `${vm.group ?? ""} ${vm.availabilityZone}`;
        capacityMiB.set(key, (capacityMiB.get(key) ?? 0) + (leaving ? 0 : report?.memoryMiB ?? 0));
    }
    return {
        config: node.config,
        capacityOf: (availabilityZone, deployment) => capacityMiB.get(`${deployment} ${availabilityZone}`) ?? 0,
        availabilityZone: node.cfg.availabilityZone,
        zonesByDeployment,
        demandOf: (availabilityZone, artifact) => demand.get(`${zoneOrigin(availabilityZone)} ${artifact}`) ?? 0,
        hasConfirmedCopy: (availabilityZone, artifact) =>
            node.fleet.residentRunners(artifact).some(runner =>
                runner.vm.availabilityZone === availabilityZone && !runner.leaving && !runner.draining.includes(artifact)
            ),
    };
};

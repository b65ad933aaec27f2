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

/** What the offers of one zone are made from. */
export interface OfferInputs {
    readonly config: ConfigStore;
    readonly availabilityZone: string;
    /** Zones with runners, by deployment. */
    readonly zonesByDeployment: ReadonlyMap<string, readonly string[]>;
    /** Memory of a deployment's runners in a zone. */
    readonly capacityOf: (availabilityZone: string, deployment: string) => number;
    /** Requests a second by zone and artifact. */
    readonly demandOf: (availabilityZone: string, artifact: string) => number;
    /** Whether a zone has a confirmed copy. */
    readonly hasConfirmedCopy: (availabilityZone: string, artifact: string) => boolean;
}

/** Share of a zone's memory that least copies may take; the rest is for demand, adapters and versions that change. */
const homeShare = 0.8;

/** Least copies of a model by zone. */
type Homes = ReadonlyMap<string, number>;

/**
 * Deals the least copies of all models out over the zones, in each model's own order of zones, passing over zones that are full. Every node
 * comes to the same homes from the same records and runners.
 */
const dealHomes = ({ config, zonesByDeployment: zonesOf, capacityOf }: OfferInputs): ReadonlyMap<string, Homes> => {
    const dealt = new Map<string, Homes>();
    const left = new Map<string, number>();
    const models = [...config.all(RecordKind.Model)].sort((a, b) => a.name < b.name ? -1 : 1);
    for (const model of models) {
        const zones = rankByHashCached(modelArtifact(model), zonesOf.get(model.deployment) ?? []);
        const homes = new Map<string, number>();
        for (let copy = 0; copy < model.minCopies && zones.length > 0; copy++) {
            const keyOf = (zone: string) => `${model.deployment} ${zone}`;
            const leftIn = (zone: string) => left.get(keyOf(zone)) ?? capacityOf(zone, model.deployment) * homeShare;
            const inTurn = [...zones.slice(copy % zones.length), ...zones.slice(0, copy % zones.length)];
            const zone = inTurn.find(other => leftIn(other) >= model.memoryMiB) ?? inTurn[0]!;
            left.set(keyOf(zone), leftIn(zone) - model.memoryMiB);
            homes.set(zone, (homes.get(zone) ?? 0) + 1);
        }
        dealt.set(model.name, homes);
    }
    return dealt;
};

const createOffer = (
    inputs: OfferInputs,
    artifact: string,
    memoryMiB: number,
    deployment: string,
    homes: Homes,
    base: string | undefined,
): Offer | undefined => {
    const { availabilityZone, hasConfirmedCopy: holds, demandOf } = inputs;
    const zones = inputs.zonesByDeployment.get(deployment) ?? [];
    if (!zones.includes(availabilityZone)) {
        return undefined;
    }
    const others = zones.filter(zone => zone !== availabilityZone);
    // The first home also answers for the zones that have no copy of their own.
    const guests = homes.keys().next().value === availabilityZone ? others.filter(zone => !holds(zone, artifact)) : [];
    return {
        artifact,
        memoryMiB,
        deployment,
        minCopies: homes.get(availabilityZone) ?? 0,
        homeHolds: others.some(zone => homes.has(zone) && holds(zone, artifact)),
        demand: [availabilityZone, ...guests].reduce((sum, zone) => sum + demandOf(zone, artifact), 0),
        base,
    };
};

/** What a zone offers: each model and adapter of the configuration whose deployment has runners there. An adapter is at home with its model. */
export const createOffers = (inputs: OfferInputs): readonly Offer[] => {
    const homes = dealHomes(inputs);
    const models = inputs.config.all(RecordKind.Model).map(model =>
        createOffer(inputs, modelArtifact(model), model.memoryMiB, model.deployment, homes.get(model.name)!, undefined)
    );
    const adapters = inputs.config.all(RecordKind.Adapter).map(adapter => {
        const model = inputs.config.get(RecordKind.Model, adapter.model);
        const first = model && [...homes.get(model.name)!.keys()].slice(0, 1);
        return model &&
            createOffer(inputs, adapterArtifact(adapter), adapter.memoryMiB, model.deployment, new Map(first!.map(zone => [zone, 1])), modelArtifact(model));
    });
    return [...models, ...adapters].filter(offer => offer !== undefined);
};

/** Gathers the inputs from what a node knows. */
export const gatherOfferInputs = (node: NodeContext): OfferInputs => {
    const zonesOf = new Map<string, string[]>();
    for (const vm of node.fleet.vmsOf(VmKind.Runner)) {
        const zones = zonesOf.get(vm.group ?? "") ?? [];
        if (!zones.includes(vm.availabilityZone)) {
            zones.push(vm.availabilityZone);
        }
        zonesOf.set(vm.group ?? "", zones);
    }
    const demand = new Map<string, number>();
    for (const { origin, value } of node.digests.values<DigestDemand>(DigestName.Demand)) {
        // Nodes tell of this zone; what another zone tells of itself is the demand that it cannot serve.
        const zone = isZoneOrigin(origin) ? origin : zoneOrigin(node.cfg.availabilityZone);
        if (isZoneOrigin(origin) && origin === zoneOrigin(node.cfg.availabilityZone)) {
            continue;
        }
        for (const [artifact, rate] of Object.entries(value)) {
            const key = `${zone} ${artifact}`;
            demand.set(key, (demand.get(key) ?? 0) + rate);
        }
    }
    const capacity = new Map<string, number>();
    for (const { vm, report, leaving } of node.fleet.runners()) {
        const key = `${vm.group ?? ""} ${vm.availabilityZone}`;
        capacity.set(key, (capacity.get(key) ?? 0) + (leaving ? 0 : report?.memoryMiB ?? 0));
    }
    return {
        config: node.config,
        capacityOf: (availabilityZone, deployment) => capacity.get(`${deployment} ${availabilityZone}`) ?? 0,
        availabilityZone: node.cfg.availabilityZone,
        zonesByDeployment: zonesOf,
        demandOf: (availabilityZone, artifact) => demand.get(`${zoneOrigin(availabilityZone)} ${artifact}`) ?? 0,
        hasConfirmedCopy: (availabilityZone, artifact) =>
            node.fleet.residentRunners(artifact).some(runner =>
                runner.vm.availabilityZone === availabilityZone && !runner.leaving && !runner.draining.includes(artifact)
            ),
    };
};

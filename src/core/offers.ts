import type { NodeContext } from "../node/context";
import { RecordKind } from "../types/config";
import type { DigestDemand } from "../types/nodeDigest";
import { DigestName } from "../types/nodeDigest";
import type { Offer } from "../types/plan";
import { VmKind } from "../types/vm";
import { rankByHashOnce } from "../utils/hash";
import { adapterArtifact, modelArtifact } from "./artifacts";
import type { ConfigStore } from "./configStore";
import { isZoneOrigin, zoneOrigin } from "./digests";

/** What the offers of one zone are made from. */
export interface OfferInputs {
    readonly config: ConfigStore;
    readonly availabilityZone: string;
    /** Zones with runners, by deployment. */
    readonly zonesOf: ReadonlyMap<string, readonly string[]>;
    /** Requests a second by zone and artifact. */
    readonly demandOf: (availabilityZone: string, artifact: string) => number;
    /** Whether a zone has a confirmed copy. */
    readonly holds: (availabilityZone: string, artifact: string) => boolean;
}

/** Copies that fall to a zone when they are dealt out over the zones in the artifact's order. */
const shareOf = (copies: number, rank: number, zones: number): number => Math.floor(copies / zones) + (rank < copies % zones ? 1 : 0);

const createOffer = (inputs: OfferInputs, artifact: string, memoryMiB: number, deployment: string, copies: number, base: string | undefined):
    | Offer
    | undefined => {
    const zones = rankByHashOnce(artifact, inputs.zonesOf.get(deployment) ?? []);
    const rank = zones.indexOf(inputs.availabilityZone);
    if (rank < 0) {
        return undefined;
    }
    const others = zones.filter(zone => zone !== inputs.availabilityZone);
    const homes = others.filter(zone => shareOf(copies, zones.indexOf(zone), zones.length) > 0);
    // The first zone also answers for the zones that have no copy of their own.
    const guests = rank === 0 ? others.filter(zone => !inputs.holds(zone, artifact)) : [];
    const demand = [inputs.availabilityZone, ...guests].reduce((sum, zone) => sum + inputs.demandOf(zone, artifact), 0);
    return {
        artifact,
        memoryMiB,
        deployment,
        minCopies: shareOf(copies, rank, zones.length),
        homeHolds: homes.some(zone => inputs.holds(zone, artifact)),
        demand,
        base,
    };
};

/** What a zone offers: each model and adapter of the configuration whose deployment has runners there. */
export const createOffers = (inputs: OfferInputs): readonly Offer[] => {
    const models = inputs.config.all(RecordKind.Model).map(model =>
        createOffer(inputs, modelArtifact(model), model.memoryMiB, model.deployment, model.minCopies, undefined)
    );
    const adapters = inputs.config.all(RecordKind.Adapter).map(adapter => {
        const model = inputs.config.get(RecordKind.Model, adapter.model);
        return model && createOffer(inputs, adapterArtifact(adapter), adapter.memoryMiB, model.deployment, 1, modelArtifact(model));
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
    return {
        config: node.config,
        availabilityZone: node.cfg.availabilityZone,
        zonesOf,
        demandOf: (availabilityZone, artifact) => demand.get(`${zoneOrigin(availabilityZone)} ${artifact}`) ?? 0,
        holds: (availabilityZone, artifact) =>
            node.fleet.holdersOf(artifact).some(runner =>
                runner.vm.availabilityZone === availabilityZone && !runner.leaving && !runner.draining.includes(artifact)
            ),
    };
};

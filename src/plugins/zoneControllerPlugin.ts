import { toFailure } from "../core/failures";
import { createOffers, gatherOfferInputs } from "../core/offers";
import { ZoneControllerCandidate } from "../core/zoneControllerCandidate";
import type { NodeContext, NodePlugin } from "../node/context";
import { RecordKind } from "../types/config";
import { EventId } from "../types/eventId";
import type { NodeState } from "../types/nodeDigest";
import { DigestName } from "../types/nodeDigest";
import { VmKind, VmState } from "../types/vm";
import type { ZoneControllerInputs, ZoneControllerOptions } from "../types/zoneController";
import { emit } from "../utils/events";
import { ownerOf } from "../utils/hash";
import { repeat } from "../utils/time";

const maxStepsPerRound = 64;

const rulesOf = ({ cfg }: NodeContext): ZoneControllerOptions => ({
    weights: { copyRate: cfg.copyRate, moveCost: cfg.moveCost, maxSteps: maxStepsPerRound },
    drainDelayMs: cfg.drainDelayMs,
    orderLatenessMs: cfg.orderLatenessMs,
    loadsAtOnce: cfg.loadsAtOnce,
});

/**
 * Whether a process that wrote ledger entries has ended: another process runs under its node's name, or neither the VM list nor any digest
 * knows the node any more.
 */
const createGoneCheck = (node: NodeContext) => {
    const incarnations = new Map(node.digests.values<NodeState>(DigestName.Node).map(({ value }) => [value.id, value.incarnation]));
    const listed = new Set(node.fleet.vmsOf(VmKind.Node).map(vm => vm.id));
    return (holder: string): boolean => {
        const slash = holder.lastIndexOf("/");
        const known = incarnations.get(holder.slice(0, slash));
        return known === undefined ? !listed.has(holder.slice(0, slash)) : known !== holder.slice(slash + 1);
    };
};

const gather = (node: NodeContext): ZoneControllerInputs | undefined => {
    // A copy is placed only by a configuration that is known.
    if (node.config.sequence === 0) {
        return undefined;
    }
    const runners = node.fleet.runners().filter(runner => runner.vm.availabilityZone === node.cfg.availabilityZone).map(({ vm, report, leaving }) => {
        const deployment = node.config.get(RecordKind.Deployment, vm.group ?? "");
        return { vm, report, leaving, cost: (deployment?.acceleratorCost ?? 1) * (vm.accelerators ?? 1), checksFence: deployment?.checksFence ?? false };
    });
    return { runners, offers: createOffers(gatherOfferInputs(node)), isGone: createGoneCheck(node) };
};

/** Whether this node should ask for the lease at every round; the others ask seldom. */
const isPreferred = (node: NodeContext): boolean => {
    const live = node.fleet.vmsOf(VmKind.Node).filter(vm => vm.availabilityZone === node.cfg.availabilityZone && vm.state === VmState.Live);
    return ownerOf(ZoneControllerCandidate.preferenceKey, live.map(vm => vm.id)) === node.cfg.nodeId;
};

/** Takes part in the stewardship of the zone's runners. */
export const createZoneControllerPlugin = (): NodePlugin => {
    let stewardship: ZoneControllerCandidate | undefined;
    return {
        name: "steward",
        start: node => {
            const { nodeId, availabilityZone } = node.cfg;
            const part = stewardship = ZoneControllerCandidate.create(
                node.table,
                { nodeId, availabilityZone, incarnation: node.incarnation },
                node.engines,
                rulesOf(node),
            );
            const round = async (): Promise<void> => {
                await part.tick(isPreferred(node), () => gather(node));
                node.drains = part.drains;
            };
            void repeat(round, () => node.cfg.stewardMs, node.signal, err => emit(EventId.ControllerRoundFailed, { detail: toFailure(err).detail }));
        },
        stop: () => stewardship?.release().catch(() => undefined),
    };
};

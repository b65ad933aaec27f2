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

const optionsOf = ({ cfg }: NodeContext): ZoneControllerOptions => ({
    weights: { copyRate: cfg.copyRate, moveCost: cfg.moveCost, maxSteps: maxStepsPerRound },
    drainDelayMs: cfg.drainDelayMs,
    orderLatenessMs: cfg.orderLatenessMs,
    loadsAtOnce: cfg.loadsAtOnce,
});

/**
 * Creates a check whether a process that wrote memory reservations has ended: either another process runs under its node's ID, or neither the
 * VM list nor any digest contains the node any more.
 */
const createHolderGoneCheck = (node: NodeContext) => {
    const incarnations = new Map(node.digests.values<NodeState>(DigestName.Node).map(({ value }) => [value.id, value.incarnation]));
    const listedNodes = new Set(node.fleet.vmsOf(VmKind.Node).map(vm => vm.id));
    return (holder: string): boolean => {
        const separatorIndex = holder.lastIndexOf("/");
        const knownIncarnation = incarnations.get(holder.slice(0, separatorIndex));
        return knownIncarnation === undefined ? !listedNodes.has(holder.slice(0, separatorIndex)) : knownIncarnation !== holder.slice(separatorIndex + 1);
    };
};

const gatherInputs = (node: NodeContext): ZoneControllerInputs | undefined => {
    // No copy is placed before a configuration is known.
    if (node.config.sequence === 0) {
        return undefined;
    }
    const runners = node.fleet.runners().filter(runner => runner.vm.availabilityZone === node.cfg.availabilityZone).map(({ vm, report, leaving }) => {
        const deployment = node.config.get(RecordKind.Deployment, vm.group ?? "");
        return { vm, report, leaving, cost: (deployment?.acceleratorCost ?? 1) * (vm.accelerators ?? 1), checksFence: deployment?.checksFence ?? false };
    });
    return { runners, offers: createOffers(gatherOfferInputs(node)), isGone: createHolderGoneCheck(node) };
};

/** Whether this node tries to acquire the zone lease in every round; the other nodes try less often. */
const isPreferred = (node: NodeContext): boolean => {
    const liveNodes = node.fleet.vmsOf(VmKind.Node).filter(vm => vm.availabilityZone === node.cfg.availabilityZone && vm.state === VmState.Live);
    return ownerOf(ZoneControllerCandidate.preferenceKey, liveNodes.map(vm => vm.id)) === node.cfg.nodeId;
};

/** Creates the plugin that makes this node a candidate for zone controller. */
export const createZoneControllerPlugin = (): NodePlugin => {
    let candidate: ZoneControllerCandidate | undefined;
    return {
        name: "steward",
        start: node => {
            const { nodeId, availabilityZone } = node.cfg;
            const startedCandidate = candidate = ZoneControllerCandidate.create(
                node.table,
                { nodeId, availabilityZone, incarnation: node.incarnation },
                node.engines,
                optionsOf(node),
            );
            const runRound = async (): Promise<void> => {
                await startedCandidate.tick(isPreferred(node), () => gatherInputs(node));
                node.drains = startedCandidate.drains;
            };
            void repeat(runRound, () => node.cfg.stewardMs, node.signal, err => emit(EventId.ControllerRoundFailed, { detail: toFailure(err).detail }));
        },
        stop: () => candidate?.release().catch(() => undefined),
    };
};

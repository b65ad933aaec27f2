import { toFailure } from "../core/failures";
import { Lease, leaseTtlMs, stewardKey } from "../core/lease";
import { createOffers, gatherOfferInputs } from "../core/offers";
import type { StewardedRunner, StewardRules } from "../core/steward";
import { Steward } from "../core/steward";
import type { NodeContext, NodePlugin } from "../node/context";
import { RecordKind } from "../types/config";
import { EventId } from "../types/eventId";
import { VmKind, VmState } from "../types/vm";
import { emit } from "../utils/events";
import { ownerOf } from "../utils/hash";
import { repeat } from "../utils/time";

/** One lease covers all runners of a zone. */
const shard = 0;
const renewEveryMs = leaseTtlMs / 3;
const maxStepsPerRound = 64;

const rulesOf = (node: NodeContext): StewardRules => ({
    weights: { copyRate: node.cfg.copyRate, moveCost: node.cfg.moveCost, maxSteps: maxStepsPerRound },
    drainDelayMs: node.cfg.drainDelayMs,
    orderLatenessMs: node.cfg.orderLatenessMs,
    loadsAtOnce: node.cfg.loadsAtOnce,
});

const gatherRunners = (node: NodeContext): readonly StewardedRunner[] =>
    node.fleet.runners().filter(runner => runner.vm.availabilityZone === node.cfg.availabilityZone).map(({ vm, report, leaving }) => {
        const deployment = node.config.get(RecordKind.Deployment, vm.group ?? "");
        return { vm, report, leaving, cost: (deployment?.acceleratorCost ?? 1) * (vm.accelerators ?? 1), checksFence: deployment?.checksFence ?? false };
    });

/** Whether this node should ask for the lease now: the preferred node at every round, the others seldom. */
const isPreferred = (node: NodeContext): boolean => {
    const live = node.fleet.vmsOf(VmKind.Node).filter(vm => vm.availabilityZone === node.cfg.availabilityZone && vm.state === VmState.Live);
    return ownerOf(`steward ${shard}`, live.map(vm => vm.id)) === node.cfg.nodeId;
};

/** Takes part in the stewardship of the zone's runners. */
export const createStewardPlugin = (): NodePlugin => {
    let lease: Lease | undefined;
    let steward: Steward | undefined;
    return {
        name: "steward",
        start: node => {
            const held = lease = Lease.create(node.table, stewardKey(node.cfg.availabilityZone, shard), node.cfg.nodeId);
            let askedAt = -Infinity;
            let term: number | undefined;
            const renew = async (): Promise<void> => {
                const wait = held.heldTerm === undefined ? (isPreferred(node) ? 0 : leaseTtlMs) : renewEveryMs;
                if (performance.now() - askedAt < wait) {
                    return;
                }
                askedAt = performance.now();
                await held.renew();
            };
            const round = async (): Promise<void> => {
                await renew();
                if (held.heldTerm !== term) {
                    emit(held.heldTerm === undefined ? EventId.LeaseLost : EventId.LeaseTaken, { term: held.heldTerm ?? term });
                    term = held.heldTerm;
                    steward = term === undefined
                        ? undefined
                        : Steward.create(node.table, node.cfg.availabilityZone, term, node.engines, rulesOf(node), () => held.heldTerm === term);
                }
                // A copy is placed only by a configuration that is known.
                if (steward && node.config.sequence > 0) {
                    await steward.round(gatherRunners(node), createOffers(gatherOfferInputs(node)));
                }
                // A lapsed lease ends no drain: the copy stays out of routing until another holder decides.
                if (steward || held.isHeldElsewhere) {
                    node.drains.clear();
                    steward?.drains().forEach(drain => node.drains.add(drain));
                }
            };
            void repeat(round, () => node.cfg.stewardMs, node.signal, err => emit(EventId.StewardFailed, { detail: toFailure(err).detail }));
        },
        stop: () => lease?.release().catch(() => undefined),
    };
};

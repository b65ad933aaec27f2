import type { MemoryReservation } from "../types/memoryReservation";
import { ReservationState } from "../types/memoryReservation";
import type { Offer, PlannedRunner, PlanWeights } from "../types/plan";
import { freeMiB, isReportedResident } from "./memoryReservations";

/** A runner as the plan would leave it. */
export interface ProjectedRunner {
    readonly current: PlannedRunner;
    freeMiB: number;
    readonly entries: Map<string, MemoryReservation>;
}

/** Whether a runner has a copy, or a load under way that may become one; a copy counts only while the engine itself reports it. */
export const countsAsCopy = ({ report, stuck }: PlannedRunner, entry: MemoryReservation): boolean => {
    if (entry.state === ReservationState.Loading) {
        return !stuck.includes(entry.artifact);
    }
    return entry.state === ReservationState.Resident && isReportedResident(report, entry.artifact);
};

/** Copies that the demand asks for. */
export const desiredCopies = (offer: Offer, weights: PlanWeights): number =>
    Math.max(offer.minCopies, Math.ceil((offer.demand - weights.moveCost) / weights.copyRate));

/** Copies that must stay confirmed in this zone. An adapter may leave: it is loaded again in milliseconds when it is asked for. */
export const requiredCopies = (offer: Offer): number => {
    if (offer.base !== undefined) {
        return 0;
    }
    return offer.homeHolds ? offer.minCopies : Math.max(1, offer.minCopies);
};

/** A runner as it stands. */
export const projectRunner = (runner: PlannedRunner): ProjectedRunner => ({
    current: runner,
    freeMiB: freeMiB(runner.row),
    entries: new Map(runner.row.entries.map(entry => [entry.artifact, entry])),
});

/** Room that one runner can make. */
export interface EvictionPlan {
    readonly runner: ProjectedRunner;
    readonly victims: readonly MemoryReservation[];
    /** Demand that the victims carry. */
    readonly lostDemand: number;
}

/** The copies worth least whose going makes room on a runner; what is leaving already counts as room. */
export const planEviction = (
    draft: ProjectedRunner,
    memoryMiB: number,
    isSpare: (entry: MemoryReservation) => boolean,
    worthOf: (entry: MemoryReservation) => number,
): EvictionPlan | undefined => {
    const entries = [...draft.entries.values()];
    const pending = entries.filter(entry => entry.state === ReservationState.Draining || entry.state === ReservationState.Unloading);
    let room = draft.freeMiB + pending.reduce((sum, entry) => sum + entry.memoryMiB, 0);
    const spare = entries.filter(isSpare).sort((a, b) => worthOf(a) - worthOf(b));
    const victims: MemoryReservation[] = [];
    while (room < memoryMiB && spare.length > 0) {
        const victim = spare.shift()!;
        victims.push(victim);
        room += victim.memoryMiB;
    }
    return room < memoryMiB ? undefined : { runner: draft, victims, lostDemand: victims.reduce((sum, victim) => sum + worthOf(victim), 0) };
};

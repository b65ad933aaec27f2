import type { MemoryReservation } from "../types/memoryReservation";
import { ReservationState } from "../types/memoryReservation";
import type { Offer, PlannedRunner, PlanWeights } from "../types/plan";
import { freeMiB, isReportedResident } from "./memoryReservations";

/** State of a runner as the planned steps will leave it. */
export interface ProjectedRunner {
    readonly current: PlannedRunner;
    freeMiB: number;
    readonly entries: Map<string, MemoryReservation>;
}

/** Whether a reservation counts as a copy: a load in progress that may succeed, or a resident copy that the engine itself reports. */
export const countsAsCopy = ({ report, stuck }: PlannedRunner, entry: MemoryReservation): boolean => {
    if (entry.state === ReservationState.Loading) {
        return !stuck.includes(entry.artifact);
    }
    return entry.state === ReservationState.Resident && isReportedResident(report, entry.artifact);
};

/** Number of copies that the demand calls for. */
export const desiredCopies = (offer: Offer, weights: PlanWeights): number =>
    Math.max(offer.minCopies, Math.ceil((offer.demand - weights.moveCost) / weights.copyRate));

/** Number of copies that must stay confirmed in this zone. Adapters need none: they are loaded again in milliseconds when requested. */
export const requiredCopies = (offer: Offer): number => {
    if (offer.base !== undefined) {
        return 0;
    }
    return offer.homeHolds ? offer.minCopies : Math.max(1, offer.minCopies);
};

/** State of a runner before any step. */
export const projectRunner = (runner: PlannedRunner): ProjectedRunner => ({
    current: runner,
    freeMiB: freeMiB(runner.row),
    entries: new Map(runner.row.entries.map(entry => [entry.artifact, entry])),
});

/** Copies to evict from one runner, so that a load fits. */
export interface EvictionPlan {
    readonly runner: ProjectedRunner;
    readonly victims: readonly MemoryReservation[];
    /** Demand that the victims serve. */
    readonly lostDemand: number;
}

/** Selects the copies with the least demand to evict, so that a load fits on a runner; memory of copies already being removed counts as free. */
export const planEviction = (
    runner: ProjectedRunner,
    memoryMiB: number,
    isSpare: (entry: MemoryReservation) => boolean,
    demandOf: (entry: MemoryReservation) => number,
): EvictionPlan | undefined => {
    const entries = [...runner.entries.values()];
    const beingRemoved = entries.filter(entry => entry.state === ReservationState.Draining || entry.state === ReservationState.Unloading);
    let availableMiB = runner.freeMiB + beingRemoved.reduce((sum, entry) => sum + entry.memoryMiB, 0);
    const candidates = entries.filter(isSpare).sort((a, b) => demandOf(a) - demandOf(b));
    const victims: MemoryReservation[] = [];
    while (availableMiB < memoryMiB && candidates.length > 0) {
        const victim = candidates.shift()!;
        victims.push(victim);
        availableMiB += victim.memoryMiB;
    }
    return availableMiB < memoryMiB ? undefined : { runner, victims, lostDemand: victims.reduce((sum, victim) => sum + demandOf(victim), 0) };
};

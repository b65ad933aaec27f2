import type { LedgerEntry } from "../types/ledger";
import { EntryState } from "../types/ledger";
import type { Offer, PlannedRunner, PlanWeights } from "../types/plan";
import { freeMiB, isReported } from "./ledger";

/** State of a runner as the planned steps will leave it. */
export interface Draft {
    readonly runner: PlannedRunner;
    freeMiB: number;
    readonly entries: Map<string, LedgerEntry>;
}

/** Whether a reservation counts as a copy: a load in progress that may succeed, or a resident copy that the engine itself reports. */
export const countsAsCopy = ({ report, stuck }: PlannedRunner, entry: LedgerEntry): boolean => {
    if (entry.state === EntryState.Loading) {
        return !stuck.includes(entry.artifact);
    }
    return entry.state === EntryState.Resident && isReported(report, entry.artifact);
};

/** Number of copies that the demand calls for. */
export const wantedCopies = (offer: Offer, weights: PlanWeights): number =>
    Math.max(offer.minCopies, Math.ceil((offer.demand - weights.moveCost) / weights.copyRate));

/** Number of copies that must stay confirmed in this zone. Adapters need none: they are loaded again in milliseconds when requested. */
export const leastCopies = (offer: Offer): number => {
    if (offer.base !== undefined) {
        return 0;
    }
    return offer.homeHolds ? offer.minCopies : Math.max(1, offer.minCopies);
};

/** State of a runner before any step. */
export const createDraft = (runner: PlannedRunner): Draft => ({
    runner,
    freeMiB: freeMiB(runner.row),
    entries: new Map(runner.row.entries.map(entry => [entry.artifact, entry])),
});

/** Copies to evict from one runner, so that a load fits. */
export interface Room {
    readonly draft: Draft;
    readonly victims: readonly LedgerEntry[];
    /** Demand that the victims serve. */
    readonly loss: number;
}

/** Selects the copies with the least demand to evict, so that a load fits on a runner; memory of copies already being removed counts as free. */
export const findRoom = (
    draft: Draft,
    memoryMiB: number,
    isSpare: (entry: LedgerEntry) => boolean,
    demandOf: (entry: LedgerEntry) => number,
): Room | undefined => {
    const entries = [...draft.entries.values()];
    const leaving = entries.filter(entry => entry.state === EntryState.Draining || entry.state === EntryState.Unloading);
    let availableMiB = draft.freeMiB + leaving.reduce((sum, entry) => sum + entry.memoryMiB, 0);
    const candidates = entries.filter(isSpare).sort((a, b) => demandOf(a) - demandOf(b));
    const victims: LedgerEntry[] = [];
    while (availableMiB < memoryMiB && candidates.length > 0) {
        const victim = candidates.shift()!;
        victims.push(victim);
        availableMiB += victim.memoryMiB;
    }
    return availableMiB < memoryMiB ? undefined : { draft, victims, loss: victims.reduce((sum, victim) => sum + demandOf(victim), 0) };
};

import type { LedgerEntry } from "../types/ledger";
import { EntryState } from "../types/ledger";
import type { Offer, PlannedRunner, PlanWeights } from "../types/plan";
import { freeMiB, isReported } from "./ledger";

/** A runner as the plan would leave it. */
export interface Draft {
    readonly runner: PlannedRunner;
    freeMiB: number;
    readonly entries: Map<string, LedgerEntry>;
}

/** Whether a runner has a copy, or a load under way that may become one; a copy counts only while the engine itself reports it. */
export const countsAsCopy = ({ report, stuck }: PlannedRunner, entry: LedgerEntry): boolean => {
    if (entry.state === EntryState.Loading) {
        return !stuck.includes(entry.artifact);
    }
    return entry.state === EntryState.Resident && isReported(report, entry.artifact);
};

/** Copies that the demand asks for. */
export const wantedCopies = (offer: Offer, weights: PlanWeights): number =>
    Math.max(offer.minCopies, Math.ceil((offer.demand - weights.moveCost) / weights.copyRate));

/** Copies that must stay confirmed in this zone. An adapter may leave: it is loaded again in milliseconds when it is asked for. */
export const leastCopies = (offer: Offer): number => {
    if (offer.base !== undefined) {
        return 0;
    }
    return offer.homeHolds ? offer.minCopies : Math.max(1, offer.minCopies);
};

/** A runner as it stands. */
export const createDraft = (runner: PlannedRunner): Draft => ({
    runner,
    freeMiB: freeMiB(runner.row),
    entries: new Map(runner.row.entries.map(entry => [entry.artifact, entry])),
});

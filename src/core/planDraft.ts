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

/** Room that one runner can make. */
export interface Room {
    readonly draft: Draft;
    readonly victims: readonly LedgerEntry[];
    /** Demand that the victims carry. */
    readonly loss: number;
}

/** The copies worth least whose going makes room on a runner; what is leaving already counts as room. */
export const findRoom = (
    draft: Draft,
    memoryMiB: number,
    isSpare: (entry: LedgerEntry) => boolean,
    worthOf: (entry: LedgerEntry) => number,
): Room | undefined => {
    const entries = [...draft.entries.values()];
    const pending = entries.filter(entry => entry.state === EntryState.Draining || entry.state === EntryState.Unloading);
    let room = draft.freeMiB + pending.reduce((sum, entry) => sum + entry.memoryMiB, 0);
    const spare = entries.filter(isSpare).sort((a, b) => worthOf(a) - worthOf(b));
    const victims: LedgerEntry[] = [];
    while (room < memoryMiB && spare.length > 0) {
        const victim = spare.shift()!;
        victims.push(victim);
        room += victim.memoryMiB;
    }
    return room < memoryMiB ? undefined : { draft, victims, loss: victims.reduce((sum, victim) => sum + worthOf(victim), 0) };
};

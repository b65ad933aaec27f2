import type { MemoryReservation } from "../types/memoryReservation";
import { ReservationState } from "../types/memoryReservation";
import type { Offer, PlannedRunner, PlanStep, PlanWeights } from "../types/plan";
import { StepKind } from "../types/plan";
import { getOrCreate } from "../utils/maps";
import { unversioned } from "./artifacts";
import { reservationOf } from "./memoryReservations";
import type { ProjectedRunner } from "./projectedRunner";
import { countsAsCopy, desiredCopies, planEviction, projectRunner, requiredCopies } from "./projectedRunner";

/** A copy is given up only when the others could carry the demand at this share of their rate. */
const giveUpShare = 0.6;

/**
 * Plans the next steps for the runners of one shard: loads what is missing, drains what is withdrawn or no longer pays, and makes room where a
 * wanted load does not fit. A step is taken only if it wins more than a move costs.
 */
export class ZonePlanner {
    private readonly drafts: ProjectedRunner[];
    private readonly offers: ReadonlyMap<string, Offer>;
    /** Offers by artifact without the version. */
    private readonly successors: ReadonlyMap<string, Offer>;
    /** Runners with an entry, by artifact. */
    private readonly holders = new Map<string, ProjectedRunner[]>();
    /** Least memory that found no place and no spare copies in this round, by what it needed. */
    private readonly noRoomMiB = new Map<string, number>();
    private readonly steps: PlanStep[] = [];

    private constructor(runners: readonly PlannedRunner[], offers: readonly Offer[], private readonly weights: PlanWeights) {
        this.offers = new Map(offers.map(offer => [offer.artifact, offer]));
        this.successors = new Map(offers.map(offer => [unversioned(offer.artifact), offer]));
        this.drafts = runners.map(projectRunner);
        for (const draft of this.drafts) {
            for (const artifact of draft.entries.keys()) {
                getOrCreate(this.holders, artifact, () => []).push(draft);
            }
        }
    }

    /** Makes a planner over the ledger rows and reports of a shard. */
    static create(runners: readonly PlannedRunner[], offers: readonly Offer[], weights: PlanWeights): ZonePlanner {
        return new ZonePlanner(runners, offers, weights);
    }

    /** The steps to take now, at most `maxSteps`. */
    plan(): readonly PlanStep[] {
        const urgencies = new Map([...this.offers.values()].map(offer => [offer, this.urgency(offer)]));
        const byNeed = [...this.offers.values()].sort((a, b) => urgencies.get(b)! - urgencies.get(a)!);
        byNeed.forEach(offer => this.keepWanted(offer));
        this.keepOldVersions();
        this.dropWithdrawn();
        this.unloadDrained();
        byNeed.forEach(offer => this.addCopies(offer));
        byNeed.forEach(offer => this.giveUpCopies(offer));
        return this.steps.slice(0, this.weights.maxSteps);
    }

    /** Offers with no copy come first, models before their adapters. */
    private urgency(offer: Offer): number {
        const missing = this.copies(offer.artifact).length === 0 ? 1_000_000 : 0;
        return missing + (offer.base ? 0 : 500_000) + offer.demand;
    }

    private copies(artifact: string): readonly ProjectedRunner[] {
        return (this.holders.get(artifact) ?? []).filter(draft => {
            const entry = draft.entries.get(artifact);
            return entry !== undefined && countsAsCopy(draft.current, entry) && !draft.current.leaving;
        });
    }

    private confirmedCopies(artifact: string): number {
        return this.copies(artifact).filter(draft => draft.entries.get(artifact)?.state === ReservationState.Resident).length;
    }

    /** Confirmed copies beside the entry's own. */
    private othersOf(entry: MemoryReservation): number {
        return this.confirmedCopies(entry.artifact) - (entry.state === ReservationState.Resident ? 1 : 0);
    }

    private push(kind: StepKind, draft: ProjectedRunner, artifact: string, memoryMiB: number): void {
        this.steps.push({ kind, runner: draft.current.vm.id, artifact, memoryMiB });
    }

    /** Puts the last copy of an old version back into routing while the new one has none. */
    private keepOldVersions(): void {
        for (const draft of this.drafts) {
            for (const entry of draft.entries.values()) {
                if (entry.state === ReservationState.Draining && !this.offers.has(entry.artifact) && !this.mayGo(entry.artifact, this.othersOf(entry))) {
                    this.keep(draft, entry);
                }
            }
        }
    }

    private keep(draft: ProjectedRunner, entry: MemoryReservation): void {
        draft.entries.set(entry.artifact, { ...entry, state: ReservationState.Resident });
        this.push(StepKind.Keep, draft, entry.artifact, entry.memoryMiB);
    }

    /** Puts a draining copy back into routing rather than loading another. */
    private keepWanted(offer: Offer): void {
        for (const draft of this.holders.get(offer.artifact) ?? []) {
            const entry = draft.entries.get(offer.artifact);
            if (entry?.state !== ReservationState.Draining || draft.current.leaving) {
                continue;
            }
            const copies = this.copies(offer.artifact).length;
            if (copies < requiredCopies(offer) || (copies < desiredCopies(offer, this.weights) && !this.isAnotherShort(offer))) {
                this.keep(draft, entry);
            }
        }
    }

    /** Whether a copy may be draining to make room for another offer; putting it back would start the same again. */
    private isAnotherShort(offer: Offer): boolean {
        return [...this.offers.values()].some(other => other !== offer && this.copies(other.artifact).length < desiredCopies(other, this.weights));
    }

    private dropWithdrawn(): void {
        for (const draft of this.drafts) {
            for (const entry of draft.entries.values()) {
                if (entry.state === ReservationState.Resident && !this.offers.has(entry.artifact) && this.mayGo(entry.artifact, this.othersOf(entry))) {
                    this.drain(draft, entry);
                }
            }
        }
    }

    /** Unloads the drained copies that are still not needed: since the drain began, another copy may have been lost. */
    private unloadDrained(): void {
        for (const draft of this.drafts) {
            for (const artifact of draft.current.drained) {
                const entry = draft.entries.get(artifact);
                if (entry?.state === ReservationState.Draining && this.mayGo(artifact, this.othersOf(entry))) {
                    draft.entries.set(artifact, { ...entry, state: ReservationState.Unloading });
                    this.push(StepKind.Unload, draft, artifact, entry.memoryMiB);
                }
            }
        }
    }

    /** Whether a copy may go that leaves so many others confirmed; the last copy of an old version serves until the new one is confirmed. */
    private mayGo(artifact: string, others: number): boolean {
        const offer = this.offers.get(artifact);
        if (offer) {
            return others >= requiredCopies(offer);
        }
        const successor = this.successors.get(unversioned(artifact));
        return !successor || successor.homeHolds || others > 0 || this.confirmedCopies(successor.artifact) > 0;
    }

    private addCopies(offer: Offer): void {
        const wanted = desiredCopies(offer, this.weights);
        while (this.copies(offer.artifact).length < wanted) {
            const place = this.findPlace(offer);
            if (!place) {
                return;
            }
            place.freeMiB -= offer.memoryMiB;
            getOrCreate(this.holders, offer.artifact, () => []).push(place);
            place.entries.set(offer.artifact, {
                artifact: offer.artifact,
                memoryMiB: offer.memoryMiB,
                state: ReservationState.Loading,
                orderId: "",
                fence: 0,
                holder: "",
                since: 0,
            });
            this.push(StepKind.Load, place, offer.artifact, offer.memoryMiB);
        }
    }

    private canHold(draft: ProjectedRunner, offer: Offer): boolean {
        const { vm, leaving, report } = draft.current;
        return vm.group === offer.deployment && !leaving && !report.leaving && !draft.entries.has(offer.artifact)
            && (offer.base === undefined || reservationOf(draft.current.row, offer.base)?.state === ReservationState.Resident);
    }

    /** The cheapest runner with room, the emptiest among equals; makes room where there is none. */
    private findPlace(offer: Offer): ProjectedRunner | undefined {
        const need = offer.base ?? offer.deployment;
        if (offer.memoryMiB >= (this.noRoomMiB.get(need) ?? Infinity)) {
            return undefined;
        }
        const candidates = offer.base === undefined ? this.drafts : this.holders.get(offer.base) ?? [];
        const able = candidates.filter(draft => this.canHold(draft, offer));
        const roomy = able.filter(draft => draft.freeMiB >= offer.memoryMiB);
        if (roomy.length > 0) {
            return roomy.reduce((best, draft) => this.isBetterPlace(draft, best) ? draft : best);
        }
        this.makeRoom(offer, able);
        return undefined;
    }

    private isBetterPlace(draft: ProjectedRunner, best: ProjectedRunner): boolean {
        if (draft.current.cost !== best.current.cost) {
            return draft.current.cost < best.current.cost;
        }
        return draft.freeMiB > best.freeMiB;
    }

    /** Drains the copies that are worth least until the offer will fit on one runner, if it is worth more than what it displaces. */
    private makeRoom(offer: Offer, able: readonly ProjectedRunner[]): void {
        const missing = this.copies(offer.artifact).length < offer.minCopies;
        const rooms = able.map(draft => planEviction(draft, offer.memoryMiB, entry => this.isSpare(entry, missing), entry => this.worth(entry)));
        const best = rooms.reduce((least, room) => room && (!least || room.lostDemand < least.lostDemand) ? room : least, undefined);
        // An offer with entries of its own passes over their runners, which says nothing of the others.
        if (missing && !best && !this.holders.has(offer.artifact)) {
            this.noRoomMiB.set(offer.base ?? offer.deployment, offer.memoryMiB);
        }
        if (best && ((missing && offer.base === undefined) || offer.demand > best.lostDemand + this.weights.moveCost)) {
            best.victims.forEach(victim => this.drain(best.runner, victim));
        }
    }

    /** A copy that may go: another is resident and confirmed, and it is not needed for the least number of copies. */
    private isSpare(entry: MemoryReservation, forMissing: boolean): boolean {
        if (entry.state !== ReservationState.Resident) {
            return false;
        }
        const others = this.othersOf(entry);
        return this.mayGo(entry.artifact, others) || (forMissing && others > 0);
    }

    /** Demand that the copy carries. */
    private worth(entry: MemoryReservation): number {
        const offer = this.offers.get(entry.artifact);
        return offer ? offer.demand / Math.max(1, this.copies(entry.artifact).length) : 0;
    }

    private giveUpCopies(offer: Offer): void {
        const spare = this.copies(offer.artifact).filter(draft => draft.entries.get(offer.artifact)?.state === ReservationState.Resident);
        const carried = (copies: number): number => copies * this.weights.copyRate * giveUpShare;
        // Adapters leave only to make room; models also leave when the others can carry the demand, so that accelerators fall idle.
        if (offer.base === undefined && spare.length > Math.max(1, requiredCopies(offer)) && offer.demand < carried(spare.length - 1)) {
            const draft = spare.reduce((worst, candidate) => candidate.current.cost > worst.current.cost ? candidate : worst);
            this.drain(draft, draft.entries.get(offer.artifact)!);
        }
    }

    private drain(draft: ProjectedRunner, entry: MemoryReservation): void {
        draft.entries.set(entry.artifact, { ...entry, state: ReservationState.Draining });
        this.push(StepKind.Drain, draft, entry.artifact, entry.memoryMiB);
    }
}

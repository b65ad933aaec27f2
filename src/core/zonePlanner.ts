import type { MemoryReservation } from "../types/memoryReservation";
import { ReservationState } from "../types/memoryReservation";
import type { Offer, PlannedRunner, PlanStep, PlanWeights } from "../types/plan";
import { StepKind } from "../types/plan";
import { getOrCreate } from "../utils/maps";
import { unversioned } from "./artifacts";
import { reservationOf } from "./memoryReservations";
import type { ProjectedRunner } from "./projectedRunner";
import { countsAsCopy, desiredCopies, planEviction, projectRunner, requiredCopies } from "./projectedRunner";

/** A surplus copy is drained only if the others can serve the demand at this share of their rate. */
const scaleDownShare = 0.6;

/**
 * Plans the next steps for the runners of one zone: loads missing copies, drains copies that are withdrawn or no longer worth their cost, and
 * evicts copies where a needed load does not fit. A step is planned only if it gains more than a move costs.
 */
export class ZonePlanner {
    private readonly runners: ProjectedRunner[];
    private readonly offers: ReadonlyMap<string, Offer>;
    /** Offers by artifact without its version. */
    private readonly successors: ReadonlyMap<string, Offer>;
    /** Runners with a reservation, by artifact. */
    private readonly runnersByArtifact = new Map<string, ProjectedRunner[]>();
    /** Smallest load that fits nowhere in this round, even with evictions, by the deployment or base model that it needs. */
    private readonly unplaceableMiB = new Map<string, number>();
    private readonly steps: PlanStep[] = [];

    private constructor(runners: readonly PlannedRunner[], offers: readonly Offer[], private readonly weights: PlanWeights) {
        this.offers = new Map(offers.map(offer => [offer.artifact, offer]));
        this.successors = new Map(offers.map(offer => [unversioned(offer.artifact), offer]));
        this.runners = runners.map(projectRunner);
        for (const runner of this.runners) {
            for (const artifact of runner.entries.keys()) {
                getOrCreate(this.runnersByArtifact, artifact, () => []).push(runner);
            }
        }
    }

    /** Creates a planner for the runners of a zone, with their reservations and reports. */
    static create(runners: readonly PlannedRunner[], offers: readonly Offer[], weights: PlanWeights): ZonePlanner {
        return new ZonePlanner(runners, offers, weights);
    }

    /** The steps to carry out now, at most `maxSteps`. */
    plan(): readonly PlanStep[] {
        const urgencies = new Map([...this.offers.values()].map(offer => [offer, this.urgency(offer)]));
        const byUrgency = [...this.offers.values()].sort((a, b) => urgencies.get(b)! - urgencies.get(a)!);
        byUrgency.forEach(offer => this.keepNeededCopies(offer));
        this.keepOldVersions();
        this.drainWithdrawn();
        this.unloadDrained();
        byUrgency.forEach(offer => this.addCopies(offer));
        byUrgency.forEach(offer => this.removeSurplusCopies(offer));
        return this.steps.slice(0, this.weights.maxSteps);
    }

    /** Sort key of an offer: those without a copy come first, models before their adapters. */
    private urgency(offer: Offer): number {
        const absentBonus = this.copies(offer.artifact).length === 0 ? 1_000_000 : 0;
        return absentBonus + (offer.base ? 0 : 500_000) + offer.demand;
    }

    private copies(artifact: string): readonly ProjectedRunner[] {
        return (this.runnersByArtifact.get(artifact) ?? []).filter(runner => {
            const entry = runner.entries.get(artifact);
            return entry !== undefined && countsAsCopy(runner.current, entry) && !runner.current.leaving;
        });
    }

    private confirmedCopyCount(artifact: string): number {
        return this.copies(artifact).filter(runner => runner.entries.get(artifact)?.state === ReservationState.Resident).length;
    }

    /** Number of confirmed copies on other runners. */
    private otherCopies(entry: MemoryReservation): number {
        return this.confirmedCopyCount(entry.artifact) - (entry.state === ReservationState.Resident ? 1 : 0);
    }

    private addStep(kind: StepKind, runner: ProjectedRunner, artifact: string, memoryMiB: number): void {
        this.steps.push({ kind, runner: runner.current.vm.id, artifact, memoryMiB });
    }

    /** Returns the last copy of an old version to routing while the new version has no confirmed one. */
    private keepOldVersions(): void {
        for (const runner of this.runners) {
            for (const entry of runner.entries.values()) {
                if (entry.state === ReservationState.Draining && !this.offers.has(entry.artifact) && !this.canEvict(entry.artifact, this.otherCopies(entry))) {
                    this.keepCopy(runner, entry);
                }
            }
        }
    }

    private keepCopy(runner: ProjectedRunner, entry: MemoryReservation): void {
        runner.entries.set(entry.artifact, { ...entry, state: ReservationState.Resident });
        this.addStep(StepKind.Keep, runner, entry.artifact, entry.memoryMiB);
    }

    /** Returns a draining copy to routing rather than loading another. */
    private keepNeededCopies(offer: Offer): void {
        for (const runner of this.runnersByArtifact.get(offer.artifact) ?? []) {
            const entry = runner.entries.get(offer.artifact);
            if (entry?.state !== ReservationState.Draining || runner.current.leaving) {
                continue;
            }
            const copies = this.copies(offer.artifact).length;
            if (copies < requiredCopies(offer) || (copies < desiredCopies(offer, this.weights) && !this.isAnotherOfferShort(offer))) {
                this.keepCopy(runner, entry);
            }
        }
    }

    /** Whether a copy may be draining to free memory for another offer; returning it to routing would only cause the same drain again. */
    private isAnotherOfferShort(offer: Offer): boolean {
        return [...this.offers.values()].some(other => other !== offer && this.copies(other.artifact).length < desiredCopies(other, this.weights));
    }

    private drainWithdrawn(): void {
        for (const runner of this.runners) {
            for (const entry of runner.entries.values()) {
                if (entry.state === ReservationState.Resident && !this.offers.has(entry.artifact) && this.canEvict(entry.artifact, this.otherCopies(entry))) {
                    this.drain(runner, entry);
                }
            }
        }
    }

    /** Unloads drained copies that are still not needed: another copy may have been lost since the drain began. */
    private unloadDrained(): void {
        for (const runner of this.runners) {
            for (const artifact of runner.current.drained) {
                const entry = runner.entries.get(artifact);
                if (entry?.state === ReservationState.Draining && this.canEvict(artifact, this.otherCopies(entry))) {
                    runner.entries.set(artifact, { ...entry, state: ReservationState.Unloading });
                    this.addStep(StepKind.Unload, runner, artifact, entry.memoryMiB);
                }
            }
        }
    }

    /** Whether a copy may be removed, given the number of other confirmed ones. The last copy of an old version serves until the new one is confirmed. */
    private canEvict(artifact: string, otherCopies: number): boolean {
        const offer = this.offers.get(artifact);
        if (offer) {
            return otherCopies >= requiredCopies(offer);
        }
        const successor = this.successors.get(unversioned(artifact));
        return !successor || successor.homeHolds || otherCopies > 0 || this.confirmedCopyCount(successor.artifact) > 0;
    }

    private addCopies(offer: Offer): void {
        const wanted = desiredCopies(offer, this.weights);
        while (this.copies(offer.artifact).length < wanted) {
            const target = this.findLoadTarget(offer);
            if (!target) {
                return;
            }
            target.freeMiB -= offer.memoryMiB;
            getOrCreate(this.runnersByArtifact, offer.artifact, () => []).push(target);
            target.entries.set(offer.artifact, {
                artifact: offer.artifact,
                memoryMiB: offer.memoryMiB,
                state: ReservationState.Loading,
                orderId: "",
                fence: 0,
                holder: "",
                since: 0,
            });
            this.addStep(StepKind.Load, target, offer.artifact, offer.memoryMiB);
        }
    }

    private canHold(runner: ProjectedRunner, offer: Offer): boolean {
        const { vm, leaving, report } = runner.current;
        return vm.group === offer.deployment && !leaving && !report.leaving && !runner.entries.has(offer.artifact)
            && (offer.base === undefined || reservationOf(runner.current.row, offer.base)?.state === ReservationState.Resident);
    }

    /** The cheapest runner with enough free memory, the emptiest among equals; starts evictions if there is none. */
    private findLoadTarget(offer: Offer): ProjectedRunner | undefined {
        const constraint = offer.base ?? offer.deployment;
        if (offer.memoryMiB >= (this.unplaceableMiB.get(constraint) ?? Infinity)) {
            return undefined;
        }
        const candidates = offer.base === undefined ? this.runners : this.runnersByArtifact.get(offer.base) ?? [];
        const eligible = candidates.filter(runner => this.canHold(runner, offer));
        const fitting = eligible.filter(runner => runner.freeMiB >= offer.memoryMiB);
        if (fitting.length > 0) {
            return fitting.reduce((best, runner) => this.isBetterTarget(runner, best) ? runner : best);
        }
        this.evictFor(offer, eligible);
        return undefined;
    }

    private isBetterTarget(runner: ProjectedRunner, best: ProjectedRunner): boolean {
        if (runner.current.cost !== best.current.cost) {
            return runner.current.cost < best.current.cost;
        }
        return runner.freeMiB > best.freeMiB;
    }

    /** Drains the copies that serve the least demand, so that the offer will fit on one runner, if it is worth more than what it displaces. */
    private evictFor(offer: Offer, eligible: readonly ProjectedRunner[]): void {
        const isShort = this.copies(offer.artifact).length < offer.minCopies;
        const evictions = eligible.map(runner => planEviction(runner, offer.memoryMiB, entry => this.isSpare(entry, isShort), entry => this.demandOf(entry)));
        const best = evictions.reduce((least, eviction) => eviction && (!least || eviction.lostDemand < least.lostDemand) ? eviction : least, undefined);
        // An offer with reservations of its own skips their runners, so that its result does not hold for other offers.
        if (isShort && !best && !this.runnersByArtifact.has(offer.artifact)) {
            this.unplaceableMiB.set(offer.base ?? offer.deployment, offer.memoryMiB);
        }
        if (best && ((isShort && offer.base === undefined) || offer.demand > best.lostDemand + this.weights.moveCost)) {
            best.victims.forEach(victim => this.drain(best.runner, victim));
        }
    }

    /** Whether a copy may be evicted: its minimum does not need it or, in favour of an offer below its own minimum, another copy is confirmed. */
    private isSpare(entry: MemoryReservation, forMinimum: boolean): boolean {
        if (entry.state !== ReservationState.Resident) {
            return false;
        }
        const otherCopies = this.otherCopies(entry);
        return this.canEvict(entry.artifact, otherCopies) || (forMinimum && otherCopies > 0);
    }

    /** Share of the demand that the copy serves. */
    private demandOf(entry: MemoryReservation): number {
        const offer = this.offers.get(entry.artifact);
        return offer ? offer.demand / Math.max(1, this.copies(entry.artifact).length) : 0;
    }

    private removeSurplusCopies(offer: Offer): void {
        const spare = this.copies(offer.artifact).filter(runner => runner.entries.get(offer.artifact)?.state === ReservationState.Resident);
        const capacityOf = (copies: number): number => copies * this.weights.copyRate * scaleDownShare;
        // Adapters are removed only to free memory; models also when the other copies can serve the demand, so that accelerators become idle.
        if (offer.base === undefined && spare.length > Math.max(1, requiredCopies(offer)) && offer.demand < capacityOf(spare.length - 1)) {
            const runner = spare.reduce((worst, candidate) => candidate.current.cost > worst.current.cost ? candidate : worst);
            this.drain(runner, runner.entries.get(offer.artifact)!);
        }
    }

    private drain(runner: ProjectedRunner, entry: MemoryReservation): void {
        runner.entries.set(entry.artifact, { ...entry, state: ReservationState.Draining });
        this.addStep(StepKind.Drain, runner, entry.artifact, entry.memoryMiB);
    }
}

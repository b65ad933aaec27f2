import type { EngineLookup } from "../types/engine";
import { EventId } from "../types/eventId";
import type { MemoryReservation, ReservationRow } from "../types/memoryReservation";
import { ReservationState } from "../types/memoryReservation";
import { OrderKind } from "../types/order";
import type { Offer, PlannedRunner, PlanStep } from "../types/plan";
import { StepKind } from "../types/plan";
import type { EngineReport } from "../types/report";
import type { Table } from "../types/table";
import type { ControlledRunner, LeaseCheck, ZoneControllerInputs, ZoneControllerOptions } from "../types/zoneController";
import { emit } from "../utils/events";
import { assertInvariant } from "../utils/invariants";
import { isAdapter } from "./artifacts";
import { decide, DecisionKind } from "./decisions";
import { assertReportWithinMemory, createRow, hasPendingOrder, isWithinMemory, reservationOf, updateReservation } from "./memoryReservations";
import { ReservationAges } from "./reservationAges";
import { ZoneOrderSender } from "./zoneOrderSender";
import { ZoneReservations } from "./zoneReservations";

/** Acts for the runners of one zone during one term of the stewardship. */
export class ZoneController {
    private readonly book: ZoneReservations;
    private readonly desk: ZoneOrderSender;
    private readonly reports = new Map<string, EngineReport>();
    private readonly stuck = new Map<string, readonly string[]>();
    private isLoaded = false;
    private readonly ages = ReservationAges.create();

    private constructor(
        table: Table,
        availabilityZone: string,
        term: number,
        private readonly self: string,
        private readonly engines: EngineLookup,
        private readonly rules: ZoneControllerOptions,
        isHeld: LeaseCheck,
    ) {
        this.book = ZoneReservations.create(table, availabilityZone);
        this.desk = ZoneOrderSender.create(this.book, engines, { term, holder: self, latenessMs: rules.orderLatenessMs, isHeld });
    }

    /** Makes a steward for a term that has just begun. */
    static create(
        table: Table,
        availabilityZone: string,
        term: number,
        self: string,
        engines: EngineLookup,
        rules: ZoneControllerOptions,
        isHeld: LeaseCheck,
    ): ZoneController {
        return new ZoneController(table, availabilityZone, term, self, engines, rules, isHeld);
    }

    /** Copies that routing must drop, as `runner artifact`. */
    drains(): readonly string[] {
        return this.book.rows().flatMap(row =>
            row.entries.filter(entry => entry.state === ReservationState.Draining || entry.state === ReservationState.Unloading).map(entry =>
                `${row.runner} ${entry.artifact}`
            )
        );
    }

    /** The committed ledger rows. */
    rows(): readonly ReservationRow[] {
        return this.book.rows();
    }

    /** One round: brings the ledger in line with the reports, ends what is under way, then takes the next steps of the plan. */
    async runRound({ runners, offers, isGone }: ZoneControllerInputs): Promise<void> {
        if (!this.isLoaded) {
            await this.book.load();
            this.isLoaded = true;
        }
        this.ages.keepOnly(this.book.rows());
        const known = runners.filter(runner => runner.report !== undefined);
        const offered = new Set(offers.map(offer => offer.artifact));
        await Promise.all(known.map(runner => this.reconcile(runner, offered, isGone)));
        const byId = new Map(known.map(runner => [runner.vm.id, runner]));
        const planned = known.flatMap(runner => this.toPlanned(runner));
        for (const step of decide(DecisionKind.Plan, { runners: planned, offers, weights: this.rules.weights })) {
            await this.take(step, byId.get(step.runner)!, offers.find(offer => offer.artifact === step.artifact));
        }
    }

    private toPlanned({ vm, leaving, cost }: ControlledRunner): readonly PlannedRunner[] {
        const row = this.book.get(vm.id);
        const report = this.reports.get(vm.id);
        if (!row || !report) {
            return [];
        }
        const isIdle = (artifact: string) => (report.residencies.find(residency => residency.artifact === artifact)?.active ?? 0) === 0;
        const isDrained = (entry: MemoryReservation) =>
            entry.state === ReservationState.Draining && this.ages.ageOf(vm.id, entry) >= this.rules.drainDelayMs && isIdle(entry.artifact);
        const drained = row.entries.filter(isDrained).map(entry => entry.artifact);
        return [{ vm, row, report, leaving, cost, stuck: this.stuck.get(vm.id) ?? [], drained }];
    }

    /** After the term: tells the successors that this process will not send the orders that it recorded. */
    async abandonPendingOrders(): Promise<void> {
        const isOpen = (entry: MemoryReservation) => hasPendingOrder(entry) && entry.holder === this.self;
        await this.book.load();
        for (const row of this.book.rows()) {
            if (row.entries.some(isOpen)) {
                await this.book.write({ ...row, entries: row.entries.map(entry => isOpen(entry) ? { ...entry, answered: true } : entry) });
            }
        }
    }

    /** The newest report: one read here where something is under way, for the digests' reports lag. */
    private async freshReport(runner: ControlledRunner, row: ReservationRow | undefined): Promise<EngineReport> {
        const { id, url } = runner.vm;
        const told = runner.report!;
        let newest = this.reports.get(id) ?? told;
        if (!row || row.entries.some(entry => entry.state !== ReservationState.Resident) || row.incarnation !== told.incarnation) {
            newest = await this.engines(url).report().catch(() => newest);
        }
        else if (newest.incarnation !== told.incarnation || told.sequence > newest.sequence) {
            newest = told;
        }
        this.reports.set(id, newest);
        assertReportWithinMemory(id, newest);
        return newest;
    }

    /** Whether another process may have written the row: one that signed off its orders, or a former holder whose last write came late. */
    private mayBeStale(runner: string, report: EngineReport): boolean {
        const row = this.book.get(runner);
        return row !== undefined && (
            row.entries.some(entry => hasPendingOrder(entry) && entry.holder !== this.self)
            || report.residencies.some(residency => reservationOf(row, residency.artifact) === undefined)
        );
    }

    private async reconcile(runner: ControlledRunner, offered: ReadonlySet<string>, isGone: (holder: string) => boolean): Promise<void> {
        const { vm } = runner;
        const report = await this.freshReport(runner, this.book.get(vm.id));
        if (this.mayBeStale(vm.id, report)) {
            await this.book.reread(vm.id);
        }
        const before = this.book.get(vm.id);
        const base = before ?? createRow(vm.id, report);
        if (base.incarnation !== report.incarnation) {
            emit(EventId.RunnerRestarted, { runner: vm.id, incarnation: report.incarnation });
        }
        const agesMs = Object.fromEntries(base.entries.map(entry => [entry.artifact, this.ages.ageOf(vm.id, entry)]));
        const rules = {
            now: Date.now(),
            agesMs,
            latenessMs: this.rules.orderLatenessMs,
            checksFence: runner.checksFence,
            self: this.self,
            goneHolders: base.entries.map(entry => entry.holder).filter(isGone),
        };
        const { row, confirmed, gone, adopted, overdue, stuck } = decide(DecisionKind.Reconcile, { row: base, report, rules });
        this.stuck.set(vm.id, stuck);
        if (!isWithinMemory(row)) {
            // What the engine holds counts even where it breaks the promise: nothing more is loaded until it fits.
            emit(EventId.InvariantMemory, { runner: vm.id, adopted, detail: "the engine holds what the ledger did not allow" });
        }
        if (!before || confirmed.length + gone.length + adopted.length > 0 || row.incarnation !== before.incarnation) {
            if (!await this.book.write(row)) {
                return;
            }
        }
        confirmed.forEach(artifact => emit(EventId.ArtifactResident, { runner: vm.id, artifact }));
        gone.forEach(artifact => emit(EventId.ArtifactGone, { runner: vm.id, artifact }));
        for (const entry of row.entries.filter(other => stuck.includes(other.artifact))) {
            emit(EventId.MemoryLeaked, { runner: vm.id, artifact: entry.artifact, memoryMiB: entry.memoryMiB, order: entry.orderId, holder: entry.holder });
        }
        for (const entry of overdue) {
            await this.repeatOrder(runner, entry, offered);
        }
    }

    /** Follows up an order that can no longer take effect and did not. */
    private async repeatOrder(runner: ControlledRunner, entry: MemoryReservation, offered: ReadonlySet<string>): Promise<void> {
        if (entry.state === ReservationState.Loading) {
            await this.desk.orderForReservation(runner, entry.artifact, offered.has(entry.artifact) ? OrderKind.Load : OrderKind.Unload);
            return;
        }
        // The copy that was to be unloaded is still there and may be wanted again by now: the planner decides anew.
        const row = this.book.get(runner.vm.id);
        if (row) {
            await this.book.write(updateReservation(row, entry.artifact, { state: ReservationState.Draining, since: Date.now() }));
        }
    }

    /** Whether a confirmed copy of an offered model stays when the runner's own goes. */
    private leavesCopy({ artifact, runner }: PlanStep, offer: Offer | undefined): boolean {
        const isFree = offer === undefined || offer.base !== undefined || offer.homeHolds;
        return isFree || this.book.rows().some(row => row.runner !== runner && reservationOf(row, artifact)?.state === ReservationState.Resident);
    }

    private async take(step: PlanStep, runner: ControlledRunner, offer: Offer | undefined): Promise<void> {
        const row = this.book.get(step.runner);
        if (!row) {
            return;
        }
        if (step.kind === StepKind.Load) {
            const loading = this.book.rows().flatMap(other => other.entries).filter(entry =>
                entry.state === ReservationState.Loading && !isAdapter(entry.artifact)
            );
            if (!isAdapter(step.artifact) && loading.length >= this.rules.loadsAtOnce) {
                return;
            }
            await this.desk.orderLoad(runner, step.artifact, step.memoryMiB);
            return;
        }
        if (step.kind !== StepKind.Keep && !this.leavesCopy(step, offer)) {
            // An earlier step of this plan lost its write; the next round plans anew.
            return;
        }
        if (step.kind === StepKind.Unload) {
            const isLast = () => !this.leavesCopy(step, offer);
            await this.desk.orderForReservation(
                runner,
                step.artifact,
                OrderKind.Unload,
                () => assertInvariant(!isLast(), EventId.InvariantLastCopy, () => `${step.artifact} on ${step.runner} is the last copy`),
            );
            return;
        }
        const state = step.kind === StepKind.Drain ? ReservationState.Draining : ReservationState.Resident;
        await this.book.write(updateReservation(row, step.artifact, { state, since: Date.now() }));
    }
}

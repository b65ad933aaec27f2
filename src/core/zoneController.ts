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

/** Controls the runners of one availability zone during one term of the zone lease. */
export class ZoneController {
    private readonly reservations: ZoneReservations;
    private readonly orderSender: ZoneOrderSender;
    private readonly reports = new Map<string, EngineReport>();
    private readonly stuckByRunner = new Map<string, readonly string[]>();
    private isLoaded = false;
    private readonly reservationAges = ReservationAges.create();

    private constructor(
        table: Table,
        availabilityZone: string,
        term: number,
        private readonly processId: string,
        private readonly engines: EngineLookup,
        private readonly options: ZoneControllerOptions,
        isHeld: LeaseCheck,
    ) {
        this.reservations = ZoneReservations.create(table, availabilityZone);
        this.orderSender = ZoneOrderSender.create(this.reservations, engines, { term, holder: processId, latenessMs: options.orderLatenessMs, isHeld });
    }

    /** Creates the controller of a lease term that has just begun. */
    static create(
        table: Table,
        availabilityZone: string,
        term: number,
        processId: string,
        engines: EngineLookup,
        options: ZoneControllerOptions,
        isHeld: LeaseCheck,
    ): ZoneController {
        return new ZoneController(table, availabilityZone, term, processId, engines, options, isHeld);
    }

    /** Copies that must get no new requests, as `runner artifact`. */
    drains(): readonly string[] {
        return this.reservations.rows().flatMap(row =>
            row.entries.filter(entry => entry.state === ReservationState.Draining || entry.state === ReservationState.Unloading).map(entry =>
                `${row.runner} ${entry.artifact}`
            )
        );
    }

    /** The committed reservation rows. */
    rows(): readonly ReservationRow[] {
        return this.reservations.rows();
    }

    /** One control round: reconciles the reservations with the reports, follows up pending orders, then carries out the next steps of the plan. */
    async runRound({ runners, offers, isGone }: ZoneControllerInputs): Promise<void> {
        if (!this.isLoaded) {
            await this.reservations.load();
            this.isLoaded = true;
        }
        this.reservationAges.keepOnly(this.reservations.rows());
        const reportingRunners = runners.filter(runner => runner.report !== undefined);
        const offered = new Set(offers.map(offer => offer.artifact));
        await Promise.all(reportingRunners.map(runner => this.reconcile(runner, offered, isGone)));
        const runnersById = new Map(reportingRunners.map(runner => [runner.vm.id, runner]));
        const planned = reportingRunners.flatMap(runner => this.toPlannedRunner(runner));
        for (const step of decide(DecisionKind.Plan, { runners: planned, offers, weights: this.options.weights })) {
            await this.executeStep(step, runnersById.get(step.runner)!, offers.find(offer => offer.artifact === step.artifact));
        }
    }

    private toPlannedRunner({ vm, leaving, cost }: ControlledRunner): readonly PlannedRunner[] {
        const row = this.reservations.get(vm.id);
        const report = this.reports.get(vm.id);
        if (!row || !report) {
            return [];
        }
        const isIdle = (artifact: string) => (report.residencies.find(residency => residency.artifact === artifact)?.active ?? 0) === 0;
        const isDrained = (entry: MemoryReservation) =>
            entry.state === ReservationState.Draining && this.reservationAges.ageOf(vm.id, entry) >= this.options.drainDelayMs && isIdle(entry.artifact);
        const drained = row.entries.filter(isDrained).map(entry => entry.artifact);
        return [{ vm, row, report, leaving, cost, stuck: this.stuckByRunner.get(vm.id) ?? [], drained }];
    }

    /** Called after the term: records that this process will not send its pending orders any more, so that later lease holders can resolve them. */
    async abandonPendingOrders(): Promise<void> {
        const isOwnPending = (entry: MemoryReservation) => hasPendingOrder(entry) && entry.holder === this.processId;
        await this.reservations.load();
        for (const row of this.reservations.rows()) {
            if (row.entries.some(isOwnPending)) {
                await this.reservations.write({ ...row, entries: row.entries.map(entry => isOwnPending(entry) ? { ...entry, answered: true } : entry) });
            }
        }
    }

    /** The newest report. It is read from the engine itself while a transition is pending or after a restart, since reports in the digests lag. */
    private async freshReport(runner: ControlledRunner, row: ReservationRow | undefined): Promise<EngineReport> {
        const { id, url } = runner.vm;
        const digestReport = runner.report!;
        let newest = this.reports.get(id) ?? digestReport;
        if (!row || row.entries.some(entry => entry.state !== ReservationState.Resident) || row.incarnation !== digestReport.incarnation) {
            newest = await this.engines(url).report().catch(() => newest);
        }
        else if (newest.incarnation !== digestReport.incarnation || digestReport.sequence > newest.sequence) {
            newest = digestReport;
        }
        this.reports.set(id, newest);
        assertReportWithinMemory(id, newest);
        return newest;
    }

    /** Whether another process may have written the row: one that abandoned its orders, or a former lease holder whose last write took effect late. */
    private mayBeStale(runner: string, report: EngineReport): boolean {
        const row = this.reservations.get(runner);
        return row !== undefined && (
            row.entries.some(entry => hasPendingOrder(entry) && entry.holder !== this.processId)
            || report.residencies.some(residency => reservationOf(row, residency.artifact) === undefined)
        );
    }

    private async reconcile(runner: ControlledRunner, offered: ReadonlySet<string>, isGone: (holder: string) => boolean): Promise<void> {
        const { vm } = runner;
        const report = await this.freshReport(runner, this.reservations.get(vm.id));
        if (this.mayBeStale(vm.id, report)) {
            await this.reservations.reread(vm.id);
        }
        const before = this.reservations.get(vm.id);
        const base = before ?? createRow(vm.id, report);
        if (base.incarnation !== report.incarnation) {
            emit(EventId.RunnerRestarted, { runner: vm.id, incarnation: report.incarnation });
        }
        const agesMs = Object.fromEntries(base.entries.map(entry => [entry.artifact, this.reservationAges.ageOf(vm.id, entry)]));
        const rules = {
            now: Date.now(),
            agesMs,
            latenessMs: this.options.orderLatenessMs,
            checksFence: runner.checksFence,
            self: this.processId,
            goneHolders: base.entries.map(entry => entry.holder).filter(isGone),
        };
        const { row, confirmed, gone, adopted, overdue, stuck } = decide(DecisionKind.Reconcile, { row: base, report, rules });
        this.stuckByRunner.set(vm.id, stuck);
        if (!isWithinMemory(row)) {
            // What the engine holds is counted even if it exceeds the memory: nothing more is loaded until it fits.
            emit(EventId.InvariantMemory, {
                runner: vm.id,
                adopted,
                detail: "the reservations, including artifacts that the engine holds without an order, exceed the runner's memory",
            });
        }
        if (!before || confirmed.length + gone.length + adopted.length > 0 || row.incarnation !== before.incarnation) {
            if (!await this.reservations.write(row)) {
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

    /** Follows up an order that did not take effect and no longer can. */
    private async repeatOrder(runner: ControlledRunner, entry: MemoryReservation, offered: ReadonlySet<string>): Promise<void> {
        if (entry.state === ReservationState.Loading) {
            await this.orderSender.orderForReservation(runner, entry.artifact, offered.has(entry.artifact) ? OrderKind.Load : OrderKind.Unload);
            return;
        }
        // The copy that was to be unloaded is still resident and may be needed again by now: the planner decides again.
        const row = this.reservations.get(runner.vm.id);
        if (row) {
            await this.reservations.write(updateReservation(row, entry.artifact, { state: ReservationState.Draining, since: Date.now() }));
        }
    }

    /** Whether the copy of a step may be removed: the zone needs no copy of its own, or another runner has a confirmed one. */
    private canRemoveCopy({ artifact, runner }: PlanStep, offer: Offer | undefined): boolean {
        const needsNoCopy = offer === undefined || offer.base !== undefined || offer.homeHolds;
        return needsNoCopy || this.reservations.rows().some(row => row.runner !== runner && reservationOf(row, artifact)?.state === ReservationState.Resident);
    }

    private async executeStep(step: PlanStep, runner: ControlledRunner, offer: Offer | undefined): Promise<void> {
        const row = this.reservations.get(step.runner);
        if (!row) {
            return;
        }
        if (step.kind === StepKind.Load) {
            const loading = this.reservations.rows().flatMap(other => other.entries).filter(entry =>
                entry.state === ReservationState.Loading && !isAdapter(entry.artifact)
            );
            if (!isAdapter(step.artifact) && loading.length >= this.options.loadsAtOnce) {
                return;
            }
            await this.orderSender.orderLoad(runner, step.artifact, step.memoryMiB);
            return;
        }
        if (step.kind !== StepKind.Keep && !this.canRemoveCopy(step, offer)) {
            // The write of an earlier step of this plan was lost; the next round plans again.
            return;
        }
        if (step.kind === StepKind.Unload) {
            const isLast = () => !this.canRemoveCopy(step, offer);
            await this.orderSender.orderForReservation(
                runner,
                step.artifact,
                OrderKind.Unload,
                () => assertInvariant(!isLast(), EventId.InvariantLastCopy, () => `${step.artifact} on ${step.runner} is the last copy`),
            );
            return;
        }
        const state = step.kind === StepKind.Drain ? ReservationState.Draining : ReservationState.Resident;
        await this.reservations.write(updateReservation(row, step.artifact, { state, since: Date.now() }));
    }
}

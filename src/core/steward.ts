import { randomUUID } from "node:crypto";
import type { EngineOf } from "../types/engine";
import { EventId } from "../types/eventId";
import type { LedgerEntry, LedgerRow } from "../types/ledger";
import { EntryState } from "../types/ledger";
import type { EngineOrder } from "../types/order";
import { OrderAnswer, OrderKind } from "../types/order";
import type { Offer, PlannedRunner, PlanStep, PlanWeights } from "../types/plan";
import { StepKind } from "../types/plan";
import type { EngineReport } from "../types/report";
import type { Table } from "../types/table";
import type { Vm } from "../types/vm";
import { emit } from "../utils/events";
import { assertInvariant } from "../utils/invariants";
import { getOrCreate } from "../utils/maps";
import { isAdapter } from "./artifacts";
import { decide, DecisionKind } from "./decisions";
import { assertReportFits, createRow, entryOf, moveEntry, reserveEntry } from "./ledger";
import { LedgerBook } from "./ledgerBook";

/** Orders of one term: the fencing number is the term times this span plus a counter. */
const fenceSpan = 2 ** 20;

const seenKey = (runner: string, entry: LedgerEntry): string => `${runner} ${entry.artifact} ${entry.state} ${entry.orderId}`;

/** A runner as a round of stewardship sees it. */
export interface StewardedRunner {
    readonly vm: Vm;
    readonly report: EngineReport | undefined;
    readonly leaving: boolean;
    readonly cost: number;
    readonly checksFence: boolean;
}

/** Rules of a steward. */
export interface StewardRules {
    readonly weights: PlanWeights;
    readonly drainDelayMs: number;
    readonly orderLatenessMs: number;
    readonly loadsAtOnce: number;
}

/** Tells whether the stewardship is still held. */
export type HeldCheck = () => boolean;

/** Acts for the runners of one zone during one term of the stewardship. */
export class Steward {
    private readonly book: LedgerBook;
    private counter = 0;
    private isLoaded = false;
    /** When this steward first saw the state of an entry, by its own monotonic clock: clocks of two nodes are never compared. */
    private readonly seenAt = new Map<string, number>();

    private constructor(
        table: Table,
        availabilityZone: string,
        private readonly term: number,
        private readonly engines: EngineOf,
        private readonly rules: StewardRules,
        private readonly isHeld: HeldCheck,
    ) {
        this.book = LedgerBook.create(table, availabilityZone);
    }

    /** Makes a steward for a term that has just begun. */
    static create(table: Table, availabilityZone: string, term: number, engines: EngineOf, rules: StewardRules, isHeld: HeldCheck): Steward {
        return new Steward(table, availabilityZone, term, engines, rules, isHeld);
    }

    /** Copies that routing must drop, as `runner artifact`. */
    drains(): readonly string[] {
        return this.book.rows().flatMap(row =>
            row.entries.filter(entry => entry.state === EntryState.Draining || entry.state === EntryState.Unloading).map(entry =>
                `${row.runner} ${entry.artifact}`
            )
        );
    }

    /** The committed ledger rows. */
    rows(): readonly LedgerRow[] {
        return this.book.rows();
    }

    /** One round: brings the ledger in line with the reports, ends what is under way, then takes the next steps of the plan. */
    async round(runners: readonly StewardedRunner[], offers: readonly Offer[]): Promise<void> {
        if (!this.isLoaded) {
            await this.book.load();
            this.isLoaded = true;
        }
        this.forgetSeen();
        const known = runners.filter(runner => runner.report !== undefined);
        const offered = new Set(offers.map(offer => offer.artifact));
        await Promise.all(known.map(runner => this.reconcile(runner, offered)));
        const planned: PlannedRunner[] = known.flatMap(({ vm, report, leaving, cost }) => {
            const row = this.book.get(vm.id);
            return row && report ? [{ vm, row, report, leaving, cost }] : [];
        });
        const byId = new Map(known.map(runner => [runner.vm.id, runner]));
        for (const step of decide(DecisionKind.Plan, { runners: planned, offers, weights: this.rules.weights })) {
            await this.take(step, byId.get(step.runner)!);
        }
    }

    /** Reads a report of its own where something is under way: the digests' reports lag. */
    private async freshReport(runner: StewardedRunner, row: LedgerRow | undefined): Promise<EngineReport> {
        if (!row || row.entries.some(entry => entry.state !== EntryState.Resident) || row.incarnation !== runner.report!.incarnation) {
            const report = await this.engines(runner.vm.url).report().catch(() => undefined);
            if (report) {
                assertReportFits(runner.vm.id, report);
                return report;
            }
        }
        return runner.report!;
    }

    private async reconcile(runner: StewardedRunner, offered: ReadonlySet<string>): Promise<void> {
        const { vm } = runner;
        const before = this.book.get(vm.id);
        const report = await this.freshReport(runner, before);
        const base = before ?? createRow(vm.id, report);
        if (base.incarnation !== report.incarnation) {
            emit(EventId.RunnerRestarted, { runner: vm.id, incarnation: report.incarnation });
        }
        const agesMs = Object.fromEntries(base.entries.map(entry => [entry.artifact, this.ageOf(vm.id, entry)]));
        const rules = { now: Date.now(), agesMs, latenessMs: this.rules.orderLatenessMs, checksFence: runner.checksFence };
        const { row, confirmed, gone, adopted, overdue } = decide(DecisionKind.Reconcile, { row: base, report, rules });
        if (!before || confirmed.length + gone.length + adopted.length > 0 || row.incarnation !== before.incarnation) {
            if (!await this.book.write(row)) {
                return;
            }
        }
        confirmed.forEach(artifact => emit(EventId.ArtifactResident, { runner: vm.id, artifact }));
        gone.forEach(artifact => emit(EventId.ArtifactGone, { runner: vm.id, artifact }));
        for (const entry of overdue) {
            emit(EventId.MemoryLeaked, { runner: vm.id, artifact: entry.artifact, memoryMiB: entry.memoryMiB, order: entry.orderId });
            const wanted = entry.state === EntryState.Loading && offered.has(entry.artifact);
            await this.orderEntry(runner, entry.artifact, wanted ? OrderKind.Load : OrderKind.Unload);
        }
        await this.unloadIdle(runner, report);
    }

    /** Unloads the copies that routing has dropped long enough ago and that the engine shows idle. */
    private async unloadIdle(runner: StewardedRunner, report: EngineReport): Promise<void> {
        const row = this.book.get(runner.vm.id);
        const idle = (entry: LedgerEntry) => (report.residencies.find(residency => residency.artifact === entry.artifact)?.active ?? 0) === 0;
        const due =
            row?.entries.filter(entry => entry.state === EntryState.Draining && this.ageOf(runner.vm.id, entry) >= this.rules.drainDelayMs && idle(entry)) ??
                [];
        for (const entry of due) {
            await this.orderEntry(runner, entry.artifact, OrderKind.Unload);
        }
    }

    private async take(step: PlanStep, runner: StewardedRunner): Promise<void> {
        const row = this.book.get(step.runner);
        if (!row) {
            return;
        }
        if (step.kind === StepKind.Load) {
            const loading = this.book.rows().flatMap(other => other.entries).filter(entry => entry.state === EntryState.Loading && !isAdapter(entry.artifact));
            if (!isAdapter(step.artifact) && loading.length >= this.rules.loadsAtOnce) {
                return;
            }
            const entry = { artifact: step.artifact, memoryMiB: step.memoryMiB, state: EntryState.Loading, orderId: randomUUID(), fence: this.nextFence(),
                since: Date.now() };
            const reserved = reserveEntry(row, entry);
            if (reserved && await this.book.write(reserved)) {
                await this.send(runner, step.artifact, OrderKind.Load);
            }
            return;
        }
        const state = step.kind === StepKind.Drain ? EntryState.Draining : EntryState.Resident;
        await this.book.write(moveEntry(row, step.artifact, { state, since: Date.now() }));
    }

    /** Writes the intent of a further order for an entry and sends it. */
    private async orderEntry(runner: StewardedRunner, artifact: string, kind: OrderKind): Promise<void> {
        const row = this.book.get(runner.vm.id);
        if (!row || !entryOf(row, artifact)) {
            return;
        }
        const state = kind === OrderKind.Load ? EntryState.Loading : EntryState.Unloading;
        const next = moveEntry(row, artifact, { state, orderId: randomUUID(), fence: this.nextFence(), since: Date.now() });
        if (await this.book.write(next)) {
            await this.send(runner, artifact, kind);
        }
    }

    /** Time since this steward first saw the entry in its state. */
    private ageOf(runner: string, entry: LedgerEntry): number {
        const now = performance.now();
        return now - getOrCreate(this.seenAt, seenKey(runner, entry), () => now);
    }

    private forgetSeen(): void {
        const present = new Set(this.book.rows().flatMap(row => row.entries.map(entry => seenKey(row.runner, entry))));
        [...this.seenAt.keys()].filter(key => !present.has(key)).forEach(key => this.seenAt.delete(key));
    }

    private nextFence(): number {
        return this.term * fenceSpan + ++this.counter;
    }

    /** Sends the order whose intent the committed row holds. */
    private async send(runner: StewardedRunner, artifact: string, kind: OrderKind): Promise<void> {
        const entry = entryOf(this.book.get(runner.vm.id)!, artifact);
        const recorded = kind === OrderKind.Load ? EntryState.Loading : EntryState.Unloading;
        assertInvariant(entry?.state === recorded, EventId.InvariantOrderRecorded, () => `${kind} of ${artifact} on ${runner.vm.id} is not in the ledger`);
        // A holder that was paused after the write may have lost the stewardship; the entry stays and its successor resolves it.
        if (!this.isHeld() || Date.now() - entry.since > this.rules.orderLatenessMs / 2) {
            return;
        }
        const order: EngineOrder = { orderId: entry.orderId, kind, artifact, memoryMiB: entry.memoryMiB, fence: entry.fence };
        const answer = await this.engines(runner.vm.url).order(order);
        const fields = { runner: runner.vm.id, order: order.orderId, kind, artifact, answer };
        emit(EventId.OrderSent, fields);
        if (answer === OrderAnswer.Unknown) {
            emit(EventId.OrderUnanswered, fields);
        }
        else if (answer !== OrderAnswer.Accepted) {
            emit(EventId.OrderRefused, fields);
        }
    }
}

import { EventId } from "../types/eventId";
import type { LedgerEntry, LedgerRow } from "../types/ledger";
import { EntryState } from "../types/ledger";
import type { EngineReport, Residency } from "../types/report";
import { ResidencyState } from "../types/report";
import { assertInvariant } from "../utils/invariants";

/** Key prefix of the reservation rows. */
export const ledgerPrefix = "ledger/";
/** Row key of a runner's reservations. */
export const ledgerKey = (availabilityZone: string, runner: string): string => `${ledgerPrefix}${availabilityZone}/${runner}`;

/** Memory that the reservations of a runner take, whatever their state. */
export const reservedMiB = (row: LedgerRow): number => row.entries.reduce((sum, entry) => sum + entry.memoryMiB, 0);
/** Memory of a runner that is not reserved. */
export const freeMiB = (row: LedgerRow): number => row.memoryMiB - reservedMiB(row);
/** The reservation for an artifact. */
export const entryOf = (row: LedgerRow, artifact: string): LedgerEntry | undefined => row.entries.find(entry => entry.artifact === artifact);

/** Whether the engine reports an artifact as resident. */
export const isReported = (report: EngineReport, artifact: string): boolean =>
    report.residencies.some(residency => residency.artifact === artifact && residency.state === ResidencyState.Resident);

/** Asserts that the reservations fit into the runner's memory. Called whenever memory is reserved. */
export const assertFits = (row: LedgerRow): LedgerRow => {
    assertInvariant(isWithinMemory(row), EventId.InvariantMemory, () => `${row.runner}: ${reservedMiB(row)} of ${row.memoryMiB} MiB reserved`);
    return row;
};

/** Whether the reservations fit into the runner's memory. */
export const isWithinMemory = (row: LedgerRow): boolean => reservedMiB(row) <= row.memoryMiB;

/** Asserts that what an engine holds fits into its memory. Called on each report. */
export const assertReportFits = (runner: string, report: EngineReport): void => {
    const used = report.residencies.reduce((sum, residency) => sum + residency.memoryMiB, 0);
    assertInvariant(used <= report.memoryMiB, EventId.InvariantEngineMemory, () => `${runner}: ${used} of ${report.memoryMiB} MiB used`);
};

/** Reserves memory for a load; undefined if it does not fit or the artifact already has a reservation. */
export const reserveEntry = (row: LedgerRow, entry: LedgerEntry): LedgerRow | undefined => {
    if (entryOf(row, entry.artifact) || entry.memoryMiB > freeMiB(row)) {
        return undefined;
    }
    return assertFits({ ...row, entries: [...row.entries, entry] });
};

/** Changes fields of the reservation for an artifact. */
export const moveEntry = (row: LedgerRow, artifact: string, change: Partial<LedgerEntry>): LedgerRow => ({
    ...row,
    entries: row.entries.map(entry => entry.artifact === artifact ? { ...entry, ...change } : entry),
});

/** Result of reconciling a row with a report. */
export interface Reconciliation {
    readonly row: LedgerRow;
    readonly confirmed: readonly string[];
    readonly gone: readonly string[];
    readonly adopted: readonly string[];
    /** Reservations whose order did not take effect and no longer can; a further order follows. */
    readonly overdue: readonly LedgerEntry[];
    /** Loads without a known outcome after `latenessMs`; their memory stays reserved. */
    readonly stuck: readonly string[];
}

/** Rules that decide how long a pending order may still take effect. */
export interface LatenessRules {
    readonly now: number;
    /** Time since the last order for a reservation may have been sent, by artifact. */
    readonly agesMs: Readonly<Record<string, number>>;
    /** Time after which an order that was sent can no longer be delivered. */
    readonly latenessMs: number;
    /** Whether the engine rejects old fencing numbers; if so, older orders can no longer take effect once it has seen a higher number. */
    readonly checksFence: boolean;
    /** The process that reconciles. */
    readonly self: string;
    /** Processes known to have ended. */
    readonly goneHolders: readonly string[];
}

const confirmReservation = (entry: LedgerEntry, residency: Residency): LedgerEntry => {
    if (entry.state !== EntryState.Loading || residency.state !== ResidencyState.Resident) {
        return entry;
    }
    // The order has been delivered: if a paused sender sends it later, that has no further effect.
    return { ...entry, state: EntryState.Resident, answered: true };
};

/** Whether a reservation has a pending order, which the process that wrote the reservation may still send. */
export const isOpenOrder = ({ answered, state }: LedgerEntry): boolean => answered !== true && (state === EntryState.Loading || state === EntryState.Unloading);

/** Whether the process that was to send the order can no longer do so: it recorded that, it is this process, or it has ended. */
const isSenderDone = (entry: LedgerEntry, rules: LatenessRules): boolean =>
    entry.answered === true || entry.holder === rules.self || rules.goneHolders.includes(entry.holder);

/**
 * Whether no order for the reservation can take effect any more. An engine that has seen a fencing number at least as high rejects older orders.
 * Without that proof, the sender must be known not to be paused before sending, and the time for delivering what it sent must have passed.
 */
const isOrderSettled = (entry: LedgerEntry, report: EngineReport, rules: LatenessRules): boolean =>
    (rules.checksFence && report.fence >= entry.fence && !report.openOrders.includes(entry.orderId))
    || (isSenderDone(entry, rules) && (rules.agesMs[entry.artifact] ?? 0) >= rules.latenessMs);

/** Reconciles the reservations of a runner with a fresh report of its engine. Memory is released only if the report confirms that it is free. */
export const reconcileRow = (row: LedgerRow, report: EngineReport, rules: LatenessRules): Reconciliation => {
    const unmatched = new Map(report.residencies.map(residency => [residency.artifact, residency]));
    const confirmed: string[] = [];
    const gone: string[] = [];
    const overdue: LedgerEntry[] = [];
    const entries: LedgerEntry[] = [];
    for (const entry of row.entries) {
        const residency = unmatched.get(entry.artifact);
        unmatched.delete(entry.artifact);
        if (residency) {
            const next = confirmReservation(entry, residency);
            if (next !== entry) {
                confirmed.push(entry.artifact);
            }
            else if (entry.state === EntryState.Unloading && isOrderSettled(entry, report, rules)) {
                overdue.push(entry);
            }
            entries.push(next);
            continue;
        }
        const isSettled = isOrderSettled(entry, report, rules);
        if (entry.state === EntryState.Loading) {
            // A load that may still be delivered keeps its memory reserved. A repeated order or an unload resolves it; it is never just dropped.
            entries.push(entry);
            if (isSettled) {
                overdue.push(entry);
            }
        }
        else if (isSettled) {
            gone.push(entry.artifact);
        }
        else {
            entries.push(entry);
        }
    }
    const adopted = [...unmatched.values()].map(residency => adoptResidency(residency, report.fence, rules.now));
    return {
        row: { ...row, incarnation: report.incarnation, memoryMiB: report.memoryMiB, entries: [...entries, ...adopted] },
        confirmed,
        gone,
        adopted: adopted.map(entry => entry.artifact),
        overdue,
        stuck: entries.filter(entry => entry.state === EntryState.Loading && (rules.agesMs[entry.artifact] ?? 0) >= rules.latenessMs).map(entry =>
            entry.artifact
        ),
    };
};

/** Creates the reservation for an artifact that the engine holds without one, so that its memory counts from now on. */
const adoptResidency = (residency: Residency, fence: number, now: number): LedgerEntry => ({
    artifact: residency.artifact,
    memoryMiB: residency.memoryMiB,
    state: residency.state === ResidencyState.Loading ? EntryState.Loading : EntryState.Resident,
    orderId: "",
    fence,
    holder: "",
    answered: true,
    since: now,
});

/** The first row of a runner. */
export const createRow = (runner: string, report: EngineReport): LedgerRow => ({
    runner,
    incarnation: report.incarnation,
    memoryMiB: report.memoryMiB,
    entries: [],
});

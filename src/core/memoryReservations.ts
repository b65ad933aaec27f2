import { EventId } from "../types/eventId";
import type { MemoryReservation, ReservationRow } from "../types/memoryReservation";
import { ReservationState } from "../types/memoryReservation";
import type { EngineReport, Residency } from "../types/report";
import { ResidencyState } from "../types/report";
import { assertInvariant } from "../utils/invariants";

/** Key prefix of the reservation rows; in stored keys, they are called `ledger`. */
export const reservationPrefix = "ledger/";
/** Row key of a runner's reservations. */
export const reservationKey = (availabilityZone: string, runner: string): string => `${reservationPrefix}${availabilityZone}/${runner}`;

/** Memory that the reservations of a runner take, whatever their state. */
export const reservedMiB = (row: ReservationRow): number => row.entries.reduce((sum, entry) => sum + entry.memoryMiB, 0);
/** Memory of a runner that is not reserved. */
export const freeMiB = (row: ReservationRow): number => row.memoryMiB - reservedMiB(row);
/** The reservation for an artifact. */
export const reservationOf = (row: ReservationRow, artifact: string): MemoryReservation | undefined => row.entries.find(entry => entry.artifact === artifact);

/** Whether the engine reports an artifact as resident. */
export const isReportedResident = (report: EngineReport, artifact: string): boolean =>
    report.residencies.some(residency => residency.artifact === artifact && residency.state === ResidencyState.Resident);

/** Asserts that the reservations fit into the runner's memory. Called whenever memory is reserved. */
export const assertReservationsFit = (row: ReservationRow): ReservationRow => {
    assertInvariant(isWithinMemory(row), EventId.InvariantMemory, () => `${row.runner}: ${reservedMiB(row)} of ${row.memoryMiB} MiB reserved`);
    return row;
};

/** Whether the reservations fit into the runner's memory. */
export const isWithinMemory = (row: ReservationRow): boolean => reservedMiB(row) <= row.memoryMiB;

/** Asserts that what an engine holds fits into its memory. Called on each report. */
export const assertReportWithinMemory = (runner: string, report: EngineReport): void => {
    const used = report.residencies.reduce((sum, residency) => sum + residency.memoryMiB, 0);
    assertInvariant(used <= report.memoryMiB, EventId.InvariantEngineMemory, () => `${runner}: ${used} of ${report.memoryMiB} MiB used`);
};

/** Reserves memory for a load; undefined if it does not fit or the artifact already has a reservation. */
export const addReservation = (row: ReservationRow, entry: MemoryReservation): ReservationRow | undefined => {
    if (reservationOf(row, entry.artifact) || entry.memoryMiB > freeMiB(row)) {
        return undefined;
    }
    return assertReservationsFit({ ...row, entries: [...row.entries, entry] });
};

/** Changes fields of the reservation for an artifact. */
export const updateReservation = (row: ReservationRow, artifact: string, change: Partial<MemoryReservation>): ReservationRow => ({
    ...row,
    entries: row.entries.map(entry => entry.artifact === artifact ? { ...entry, ...change } : entry),
});

/** Result of reconciling a row with a report. */
export interface Reconciliation {
    readonly row: ReservationRow;
    readonly confirmed: readonly string[];
    readonly gone: readonly string[];
    readonly adopted: readonly string[];
    /** Reservations whose order did not take effect and no longer can; a further order follows. */
    readonly overdue: readonly MemoryReservation[];
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

const confirmReservation = (entry: MemoryReservation, residency: Residency): MemoryReservation => {
    if (entry.state !== ReservationState.Loading || residency.state !== ResidencyState.Resident) {
        return entry;
    }
    // The order has been delivered: if a suspended sender sends it later, that has no further effect.
    return { ...entry, state: ReservationState.Resident, answered: true };
};

/** Whether a reservation has a pending order, which the process that wrote the reservation may still send. */
export const hasPendingOrder = ({ answered, state }: MemoryReservation): boolean =>
    answered !== true && (state === ReservationState.Loading || state === ReservationState.Unloading);

/** Whether the process that was to send the order can no longer do so: it recorded that, it is this process, or it has ended. */
const isSenderDone = (entry: MemoryReservation, rules: LatenessRules): boolean =>
    entry.answered === true || entry.holder === rules.self || rules.goneHolders.includes(entry.holder);

/**
 * Whether no order for the reservation can take effect any more. An engine that has seen a fencing number at least as high rejects older orders.
 * Without that proof, the sender must be known not to be suspended before sending, and the time for delivering what it sent must have passed.
 */
const isOrderSettled = (entry: MemoryReservation, report: EngineReport, rules: LatenessRules): boolean =>
    (rules.checksFence && report.fence >= entry.fence && !report.openOrders.includes(entry.orderId))
    || (isSenderDone(entry, rules) && (rules.agesMs[entry.artifact] ?? 0) >= rules.latenessMs);

/** Reconciles the reservations of a runner with a fresh report of its engine. Memory is released only if the report confirms that it is free. */
export const reconcileRow = (row: ReservationRow, report: EngineReport, rules: LatenessRules): Reconciliation => {
    const unmatched = new Map(report.residencies.map(residency => [residency.artifact, residency]));
    const confirmed: string[] = [];
    const gone: string[] = [];
    const overdue: MemoryReservation[] = [];
    const entries: MemoryReservation[] = [];
    for (const entry of row.entries) {
        const residency = unmatched.get(entry.artifact);
        unmatched.delete(entry.artifact);
        if (residency) {
            const next = confirmReservation(entry, residency);
            if (next !== entry) {
                confirmed.push(entry.artifact);
            }
            else if (entry.state === ReservationState.Unloading && isOrderSettled(entry, report, rules)) {
                overdue.push(entry);
            }
            entries.push(next);
            continue;
        }
        const isSettled = isOrderSettled(entry, report, rules);
        if (entry.state === ReservationState.Loading) {
            // A load that may still be delivered keeps its memory reserved. A further load or unload order resolves it; it is never simply removed.
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
        stuck: entries.filter(entry => entry.state === ReservationState.Loading && (rules.agesMs[entry.artifact] ?? 0) >= rules.latenessMs).map(entry =>
            entry.artifact
        ),
    };
};

/** Creates the reservation for an artifact that the engine holds without one, so that its memory counts from now on. */
const adoptResidency = (residency: Residency, fence: number, now: number): MemoryReservation => ({
    artifact: residency.artifact,
    memoryMiB: residency.memoryMiB,
    state: residency.state === ResidencyState.Loading ? ReservationState.Loading : ReservationState.Resident,
    orderId: "",
    fence,
    holder: "",
    answered: true,
    since: now,
});

/** The first row of a runner. */
export const createRow = (runner: string, report: EngineReport): ReservationRow => ({
    runner,
    incarnation: report.incarnation,
    memoryMiB: report.memoryMiB,
    entries: [],
});

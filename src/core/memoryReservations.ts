import { EventId } from "../types/eventId";
import type { MemoryReservation, ReservationRow } from "../types/memoryReservation";
import { ReservationState } from "../types/memoryReservation";
import type { EngineReport, Residency } from "../types/report";
import { ResidencyState } from "../types/report";
import { assertInvariant } from "../utils/invariants";

/** Prefix of the ledger rows. */
export const reservationPrefix = "ledger/";
/** Row of a runner's ledger. */
export const reservationKey = (availabilityZone: string, runner: string): string => `${reservationPrefix}${availabilityZone}/${runner}`;

/** Memory that the entries of a runner reserve, whatever their state. */
export const reservedMiB = (row: ReservationRow): number => row.entries.reduce((sum, entry) => sum + entry.memoryMiB, 0);
/** Memory that is neither reserved nor used. */
export const freeMiB = (row: ReservationRow): number => row.memoryMiB - reservedMiB(row);
/** The entry of an artifact. */
export const reservationOf = (row: ReservationRow, artifact: string): MemoryReservation | undefined => row.entries.find(entry => entry.artifact === artifact);

/** Whether the engine reports an artifact as resident. */
export const isReportedResident = (report: EngineReport, artifact: string): boolean =>
    report.residencies.some(residency => residency.artifact === artifact && residency.state === ResidencyState.Resident);

/** Asserts that the entries fit into the runner's memory. Called before each write of a row. */
export const assertReservationsFit = (row: ReservationRow): ReservationRow => {
    assertInvariant(isWithinMemory(row), EventId.InvariantMemory, () => `${row.runner}: ${reservedMiB(row)} of ${row.memoryMiB} MiB reserved`);
    return row;
};

/** Whether the entries fit into the runner's memory. */
export const isWithinMemory = (row: ReservationRow): boolean => reservedMiB(row) <= row.memoryMiB;

/** Asserts that what an engine holds fits into its memory. Called on each report. */
export const assertReportWithinMemory = (runner: string, report: EngineReport): void => {
    const used = report.residencies.reduce((sum, residency) => sum + residency.memoryMiB, 0);
    assertInvariant(used <= report.memoryMiB, EventId.InvariantEngineMemory, () => `${runner}: ${used} of ${report.memoryMiB} MiB used`);
};

/** Reserves memory for a load; undefined where it does not fit or the artifact has an entry already. */
export const addReservation = (row: ReservationRow, entry: MemoryReservation): ReservationRow | undefined => {
    if (reservationOf(row, entry.artifact) || entry.memoryMiB > freeMiB(row)) {
        return undefined;
    }
    return assertReservationsFit({ ...row, entries: [...row.entries, entry] });
};

/** Moves an entry to another state. */
export const updateReservation = (row: ReservationRow, artifact: string, change: Partial<MemoryReservation>): ReservationRow => ({
    ...row,
    entries: row.entries.map(entry => entry.artifact === artifact ? { ...entry, ...change } : entry),
});

/** What a reconciliation did, for the log. */
export interface Reconciliation {
    readonly row: ReservationRow;
    readonly confirmed: readonly string[];
    readonly gone: readonly string[];
    readonly adopted: readonly string[];
    /** Entries whose order did not take effect and no longer can; they get a further order. */
    readonly overdue: readonly MemoryReservation[];
    /** Loads without a known outcome after the lateness bound; their memory stays reserved. */
    readonly stuck: readonly string[];
}

/** What decides how long an unanswered order may still take effect. */
export interface LatenessRules {
    readonly now: number;
    /** Time since the last order of an entry may have left, by artifact. */
    readonly agesMs: Readonly<Record<string, number>>;
    /** After this time an order that was sent can no longer arrive. */
    readonly latenessMs: number;
    /** Whether the engine refuses old fencing numbers; then a higher number seen there ends all older orders. */
    readonly checksFence: boolean;
    /** The process that reconciles. */
    readonly self: string;
    /** Processes known to have ended. */
    readonly goneHolders: readonly string[];
}

const confirmEntry = (entry: MemoryReservation, residency: Residency): MemoryReservation => {
    if (entry.state !== ReservationState.Loading || residency.state !== ResidencyState.Resident) {
        return entry;
    }
    // The order has arrived: a paused sender can send nothing new of it.
    return { ...entry, state: ReservationState.Resident, answered: true };
};

/** Whether the process that wrote the entry may still send its order. */
export const hasPendingOrder = ({ answered, state }: MemoryReservation): boolean =>
    answered !== true && (state === ReservationState.Loading || state === ReservationState.Unloading);

/** Whether the process that was to send the order can no longer do so: it said so, it is this process, or it is gone. */
const isSenderDone = (entry: MemoryReservation, rules: LatenessRules): boolean =>
    entry.answered === true || entry.holder === rules.self || rules.goneHolders.includes(entry.holder);

/**
 * Whether no order for the entry can take effect any more. An engine that has seen a number at least as high refuses what is older. Without that
 * proof, the sender must be known not to be paused before the order, and what it sent must have had its time.
 */
const isSettled = (entry: MemoryReservation, report: EngineReport, rules: LatenessRules): boolean =>
    (rules.checksFence && report.fence >= entry.fence && !report.openOrders.includes(entry.orderId))
    || (isSenderDone(entry, rules) && (rules.agesMs[entry.artifact] ?? 0) >= rules.latenessMs);

/** Brings a ledger row in line with a fresh report of the engine. Memory is given back only on the engine's word. */
export const reconcileRow = (row: ReservationRow, report: EngineReport, rules: LatenessRules): Reconciliation => {
    const held = new Map(report.residencies.map(residency => [residency.artifact, residency]));
    const confirmed: string[] = [];
    const gone: string[] = [];
    const overdue: MemoryReservation[] = [];
    const entries: MemoryReservation[] = [];
    for (const entry of row.entries) {
        const residency = held.get(entry.artifact);
        held.delete(entry.artifact);
        if (residency) {
            const next = confirmEntry(entry, residency);
            if (next !== entry) {
                confirmed.push(entry.artifact);
            }
            else if (entry.state === ReservationState.Unloading && isSettled(entry, report, rules)) {
                overdue.push(entry);
            }
            entries.push(next);
            continue;
        }
        const settled = isSettled(entry, report, rules);
        if (entry.state === ReservationState.Loading) {
            // A load that may still arrive keeps its memory; it is ended by a repeat or by an unload, never by forgetting it.
            entries.push(entry);
            if (settled) {
                overdue.push(entry);
            }
        }
        else if (settled) {
            gone.push(entry.artifact);
        }
        else {
            entries.push(entry);
        }
    }
    const adopted = [...held.values()].map(residency => adoptResidency(residency, report.fence, rules.now));
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

/** An artifact that the engine holds without an entry counts from now on. */
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

/** The row of a runner that has none yet. */
export const createRow = (runner: string, report: EngineReport): ReservationRow => ({
    runner,
    incarnation: report.incarnation,
    memoryMiB: report.memoryMiB,
    entries: [],
});

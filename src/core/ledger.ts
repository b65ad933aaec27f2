import { EventId } from "../types/eventId";
import type { LedgerEntry, LedgerRow } from "../types/ledger";
import { EntryState } from "../types/ledger";
import type { EngineReport, Residency } from "../types/report";
import { ResidencyState } from "../types/report";
import { assertInvariant } from "../utils/invariants";

/** Prefix of the ledger rows. */
export const ledgerPrefix = "ledger/";
/** Row of a runner's ledger. */
export const ledgerKey = (availabilityZone: string, runner: string): string => `${ledgerPrefix}${availabilityZone}/${runner}`;

/** Memory that the entries of a runner reserve, whatever their state. */
export const reservedMiB = (row: LedgerRow): number => row.entries.reduce((sum, entry) => sum + entry.memoryMiB, 0);
/** Memory that is neither reserved nor used. */
export const freeMiB = (row: LedgerRow): number => row.memoryMiB - reservedMiB(row);
/** The entry of an artifact. */
export const entryOf = (row: LedgerRow, artifact: string): LedgerEntry | undefined => row.entries.find(entry => entry.artifact === artifact);

/** Whether the engine reports an artifact as resident. */
export const isReported = (report: EngineReport, artifact: string): boolean =>
    report.residencies.some(residency => residency.artifact === artifact && residency.state === ResidencyState.Resident);

/** Asserts that the entries fit into the runner's memory. Called before each write of a row. */
export const assertFits = (row: LedgerRow): LedgerRow => {
    assertInvariant(isWithinMemory(row), EventId.InvariantMemory, () => `${row.runner}: ${reservedMiB(row)} of ${row.memoryMiB} MiB reserved`);
    return row;
};

/** Whether the entries fit into the runner's memory. */
export const isWithinMemory = (row: LedgerRow): boolean => reservedMiB(row) <= row.memoryMiB;

/** Asserts that what an engine holds fits into its memory. Called on each report. */
export const assertReportFits = (runner: string, report: EngineReport): void => {
    const used = report.residencies.reduce((sum, residency) => sum + residency.memoryMiB, 0);
    assertInvariant(used <= report.memoryMiB, EventId.InvariantEngineMemory, () => `${runner}: ${used} of ${report.memoryMiB} MiB used`);
};

/** Reserves memory for a load; undefined where it does not fit or the artifact has an entry already. */
export const reserveEntry = (row: LedgerRow, entry: LedgerEntry): LedgerRow | undefined => {
    if (entryOf(row, entry.artifact) || entry.memoryMiB > freeMiB(row)) {
        return undefined;
    }
    return assertFits({ ...row, entries: [...row.entries, entry] });
};

/** Moves an entry to another state. */
export const moveEntry = (row: LedgerRow, artifact: string, change: Partial<LedgerEntry>): LedgerRow => ({
    ...row,
    entries: row.entries.map(entry => entry.artifact === artifact ? { ...entry, ...change } : entry),
});

/** What a reconciliation did, for the log. */
export interface Reconciliation {
    readonly row: LedgerRow;
    readonly confirmed: readonly string[];
    readonly gone: readonly string[];
    readonly adopted: readonly string[];
    /** Entries whose order did not take effect and no longer can; they get a further order. */
    readonly overdue: readonly LedgerEntry[];
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

const confirmEntry = (entry: LedgerEntry, residency: Residency): LedgerEntry => {
    if (entry.state !== EntryState.Loading || residency.state !== ResidencyState.Resident) {
        return entry;
    }
    // The order has arrived: a paused sender can send nothing new of it.
    return { ...entry, state: EntryState.Resident, answered: true };
};

/** Whether the process that wrote the entry may still send its order. */
export const isOpenOrder = ({ answered, state }: LedgerEntry): boolean => answered !== true && (state === EntryState.Loading || state === EntryState.Unloading);

/** Whether the process that was to send the order can no longer do so: it said so, it is this process, or it is gone. */
const isSenderDone = (entry: LedgerEntry, rules: LatenessRules): boolean =>
    entry.answered === true || entry.holder === rules.self || rules.goneHolders.includes(entry.holder);

/**
 * Whether no order for the entry can take effect any more. An engine that has seen a number at least as high refuses what is older. Without that
 * proof, the sender must be known not to be paused before the order, and what it sent must have had its time.
 */
const isSettled = (entry: LedgerEntry, report: EngineReport, rules: LatenessRules): boolean =>
    (rules.checksFence && report.fence >= entry.fence && !report.openOrders.includes(entry.orderId))
    || (isSenderDone(entry, rules) && (rules.agesMs[entry.artifact] ?? 0) >= rules.latenessMs);

/** Brings a ledger row in line with a fresh report of the engine. Memory is given back only on the engine's word. */
export const reconcileRow = (row: LedgerRow, report: EngineReport, rules: LatenessRules): Reconciliation => {
    const held = new Map(report.residencies.map(residency => [residency.artifact, residency]));
    const confirmed: string[] = [];
    const gone: string[] = [];
    const overdue: LedgerEntry[] = [];
    const entries: LedgerEntry[] = [];
    for (const entry of row.entries) {
        const residency = held.get(entry.artifact);
        held.delete(entry.artifact);
        if (residency) {
            const next = confirmEntry(entry, residency);
            if (next !== entry) {
                confirmed.push(entry.artifact);
            }
            else if (entry.state === EntryState.Unloading && isSettled(entry, report, rules)) {
                overdue.push(entry);
            }
            entries.push(next);
            continue;
        }
        const settled = isSettled(entry, report, rules);
        if (entry.state === EntryState.Loading) {
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
        stuck: entries.filter(entry => entry.state === EntryState.Loading && (rules.agesMs[entry.artifact] ?? 0) >= rules.latenessMs).map(entry =>
            entry.artifact
        ),
    };
};

/** An artifact that the engine holds without an entry counts from now on. */
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

/** The row of a runner that has none yet. */
export const createRow = (runner: string, report: EngineReport): LedgerRow => ({
    runner,
    incarnation: report.incarnation,
    memoryMiB: report.memoryMiB,
    entries: [],
});

/** State of a ledger entry. Every state counts against the runner's memory. */
export enum EntryState {
    /** A load order is about to leave or has left. */
    Loading = "loading",
    Resident = "resident",
    /** Routing is dropping the copy; the unload order has not left. */
    Draining = "draining",
    /** An unload order has left. */
    Unloading = "unloading",
}

/** Memory reserved for one artifact on one runner. */
export interface LedgerEntry {
    readonly artifact: string;
    readonly memoryMiB: number;
    readonly state: EntryState;
    readonly orderId: string;
    readonly fence: number;
    /** Epoch milliseconds at which the state was entered. */
    readonly since: number;
}

/** The reserved memory of one runner; one row of the table. */
export interface LedgerRow {
    readonly runner: string;
    readonly incarnation: string;
    readonly memoryMiB: number;
    readonly entries: readonly LedgerEntry[];
}

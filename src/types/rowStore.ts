import type { StoreVersion } from "./storeVersion";

/** Name of a row. */
export interface RowName {
    readonly table: string;
    readonly part: string;
    readonly key: string;
}

/** A row as it was read; an undefined value means that it was deleted. */
export interface StoredRow extends RowName {
    readonly value: Buffer | undefined;
    readonly version: StoreVersion;
}

/**
 * Condition that a row is at this version; 0 as the store's counter means that it is absent. The store does not check the era: after a restore, the condition
 * may hold for other content. The era of the commit shows that.
 */
export interface RowCondition extends RowName {
    readonly version: StoreVersion;
}

/** A row to write. */
export interface RowPut extends RowName {
    readonly value: Buffer;
}

/** An atomic transaction: all changes take effect, or none. */
export interface RowTransaction {
    readonly conditions: readonly RowCondition[];
    readonly puts: readonly RowPut[];
    readonly removes?: readonly RowName[];
}

/** Outcome of a transaction. */
export enum TransactionKind {
    Committed = "committed",
    Conflict = "conflict",
    /** Not sent, as the store has been restored since its conditions were read. */
    Outdated = "outdated",
}

/** A known outcome; an unknown one is thrown as a failure with its verdict. `nowMs` is the store's monotonic clock, if its answer carries it. */
export type TransactionResult =
    | { readonly kind: TransactionKind.Committed; readonly version: StoreVersion; readonly nowMs?: number; }
    | { readonly kind: TransactionKind.Conflict; readonly rows: readonly StoredRow[]; readonly version: StoreVersion; readonly nowMs?: number; }
    | { readonly kind: TransactionKind.Outdated; };

/** A row, undefined if there is none, and the store's monotonic clock at the time of the read. */
export interface RowResult {
    readonly row: StoredRow | undefined;
    /** Newest version in the store at that time. */
    readonly version: StoreVersion;
    readonly nowMs: number;
}

/** Rows of one table, read at one point in time. */
export interface VersionedRows {
    readonly rows: readonly StoredRow[];
    /** Newest version in the store at that time. */
    readonly version: StoreVersion;
}

/** Kind of result of a change feed. */
export enum FeedKind {
    Changes = "changes",
    /** The requested history is no longer available, or was lost in a restore: the whole table must be read. */
    HistoryGone = "history-gone",
}

/** Changes since a version, if they are still available. */
export type FeedResult =
    | ({ readonly kind: FeedKind.Changes; } & VersionedRows)
    | { readonly kind: FeedKind.HistoryGone; };

/** The platform's metadata store. Each call throws a failure with its verdict if its outcome is unknown. */
export interface RowStore {
    readTable(table: string): Promise<VersionedRows>;
    readRow(name: RowName): Promise<RowResult>;
    /** Waits up to `waitMs` for a change after the version. */
    feed(table: string, after: StoreVersion, waitMs: number, signal: AbortSignal): Promise<FeedResult>;
    transact(transaction: RowTransaction): Promise<TransactionResult>;
}

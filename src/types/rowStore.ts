/** Name of a row. */
export interface RowName {
    readonly table: string;
    readonly part: string;
    readonly key: string;
}

/** A row as it was read; undefined bytes mean that it was dropped. */
export interface StoredRow extends RowName {
    readonly value: Buffer | undefined;
    /** From one counter of the whole store; it never repeats. */
    readonly version: number;
}

/** Holds if the row is at this version; 0 means that it is absent. */
export interface RowCondition extends RowName {
    readonly version: number;
}

/** Puts a row. */
export interface RowPut extends RowName {
    readonly value: Buffer;
}

/** All changes take effect, or none. */
export interface RowTransaction {
    readonly conditions: readonly RowCondition[];
    readonly puts: readonly RowPut[];
}

/** Outcome of a transaction. */
export enum TransactionKind {
    Committed = "committed",
    Conflict = "conflict",
}

/** A known outcome; an unknown one is thrown as a failure with its verdict. The store's steady clock is told where its answer carries it. */
export type TransactionResult =
    | { readonly kind: TransactionKind.Committed; readonly version: number; readonly nowMs?: number; }
    | { readonly kind: TransactionKind.Conflict; readonly rows: readonly StoredRow[]; readonly nowMs?: number; };

/** A row, undefined where there is none, and the store's steady clock at the moment of reading. */
export interface RowResult {
    readonly row: StoredRow | undefined;
    readonly nowMs: number;
}

/** Rows of one table at one moment. */
export interface VersionedRows {
    readonly rows: readonly StoredRow[];
    /** Newest version in the store at that moment. */
    readonly version: number;
}

/** A reading of a feed. */
export enum FeedKind {
    Changes = "changes",
    /** The wanted history is gone: read the table as a whole. */
    HistoryGone = "history-gone",
}

/** Changes since a version. */
export type FeedResult =
    | ({ readonly kind: FeedKind.Changes; } & VersionedRows)
    | { readonly kind: FeedKind.HistoryGone; };

/** The platform's metadata store. Each call throws a failure with its verdict when it has no known outcome. */
export interface RowStore {
    readTable(table: string): Promise<VersionedRows>;
    readRow(name: RowName): Promise<RowResult>;
    /** Waits up to `waitMs` for a change after the version. */
    feed(table: string, after: number, waitMs: number, signal: AbortSignal): Promise<FeedResult>;
    transact(transaction: RowTransaction): Promise<TransactionResult>;
}

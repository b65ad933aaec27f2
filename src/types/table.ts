/** A row of the platform's table; versions are never reused, even after a delete. */
export interface TableRow {
    readonly key: string;
    readonly value: unknown;
    readonly version: number;
}

/** Condition that a row is at this version; 0 means that it must be absent. */
export interface TableCondition {
    readonly key: string;
    readonly version: number;
}

/** A row to write, or to delete if the value is undefined. */
export interface TableWrite {
    readonly key: string;
    readonly value?: unknown;
}

/** An atomic transaction: all writes take effect if all conditions hold, otherwise none. */
export interface TableCommit {
    readonly conditions: readonly TableCondition[];
    readonly writes: readonly TableWrite[];
}

/** The two known outcomes of a commit. */
export enum CommitKind {
    Committed = "committed",
    Conflict = "conflict",
}

/** Outcome of a commit; an unknown outcome is thrown as a failure. */
export type CommitResult =
    | { readonly kind: CommitKind.Committed; readonly version: number; }
    | { readonly kind: CommitKind.Conflict; readonly key: string; };

/** The platform's transactional table service. Each call throws a failure with its verdict if it is not answered. */
export interface Table {
    read(key: string): Promise<TableRow | undefined>;
    /** Rows with the prefix and a key greater than `after`, in key order. */
    list(prefix: string, after?: string, limit?: number): Promise<readonly TableRow[]>;
    commit(commit: TableCommit): Promise<CommitResult>;
}

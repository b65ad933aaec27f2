import type { Socket } from "node:net";
import { FailureError } from "../../src/core/failures";
import { FailureKind } from "../../src/types/failureKind";
import type { FeedResult, RowName, RowResult, RowStore, RowTransaction, StoredRow, TransactionResult, VersionedRows } from "../../src/types/rowStore";
import { FeedKind, TransactionKind } from "../../src/types/rowStore";
import type { StoreVersion } from "../../src/types/storeVersion";
import { counterOf, createStoreVersion, eraOf } from "../../src/types/storeVersion";
import { Verdict } from "../../src/types/verdict";
import type { Random } from "../../src/utils/random";

const rowKey = ({ table, part, key }: RowName): string => `${table}\n${part}\n${key}`;

/** Longest delay of a write whose answer is lost and that is applied late. */
const maxLateWriteMs = 6_000;

const clockOffsetMs = 5_000_000;

/** The contents of a store at one time, from which it can be restored. The rows have numbers of the store's counter, not versions. */
export interface StoreCopy {
    readonly version: number;
    readonly rows: ReadonlyMap<string, StoredRow>;
}

/**
 * The platform's store, in memory. Answers to writes may be lost; such a write is applied at once or late, in both cases only
 * if its conditions hold then.
 */
export class MemoryPlatformStore implements RowStore {
    isDown = false;
    /** Whether its server leaves requests without an answer. */
    isSilent = false;
    /** Sends the answers of its server in place of the usual way. */
    answerWith: ((socket: Socket, status: number, body: string) => void) | undefined;
    /** Share of writes whose answer is lost. */
    lossShare = 0.05;
    /** Whether the next read of a feed finds that its history was dropped. */
    isCompacted = false;
    /** Number of transactions requested, including those that failed. */
    writes = 0;
    /** Reads of whole tables. */
    tableReads = 0;
    /** Rises with each restore. */
    era = 1;
    private version = 0;
    private rows = new Map<string, StoredRow>();

    private constructor(private readonly random: Random) {}

    static create(random: Random): MemoryPlatformStore {
        return new MemoryPlatformStore(random);
    }

    /** The store's monotonic clock, with another origin than the clock of this process. */
    get nowMs(): number {
        return performance.now() + clockOffsetMs;
    }

    /** Writes or deletes a row without conditions, as another writer. */
    put(name: RowName, value: Buffer | undefined): void {
        this.rows.set(rowKey(name), { ...name, value, version: ++this.version });
    }

    /** Copies the contents. */
    copy(): StoreCopy {
        return { version: this.version, rows: new Map(this.rows) };
    }

    /** Keys of the rows of a table. */
    keysOf(table: string): readonly string[] {
        return [...this.rows.values()].filter(row => row.table === table && row.value).map(({ key }) => key);
    }

    /** Replaces the contents by a copy: all later writes are lost, and their versions are used again. */
    restore({ version, rows }: StoreCopy): void {
        this.version = version;
        this.rows = new Map(rows);
        this.era++;
    }

    /** Number of the last write, as the store's counter gives it. */
    private get newest(): StoreVersion {
        return createStoreVersion(this.era, this.version);
    }

    private toAnswer(row: StoredRow): StoredRow {
        return { ...row, version: createStoreVersion(this.era, row.version) };
    }

    readTable(table: string): Promise<VersionedRows> {
        this.throwIfDown();
        this.tableReads++;
        const rows = [...this.rows.values()].filter(row => row.table === table && row.value);
        return Promise.resolve({ rows: rows.map(row => this.toAnswer(row)), version: this.newest });
    }

    readRow(name: RowName): Promise<RowResult> {
        this.throwIfDown();
        const row = this.rows.get(rowKey(name));
        return Promise.resolve({ row: row && this.toAnswer(row), version: this.newest, nowMs: this.nowMs });
    }

    feed(table: string, after: StoreVersion): Promise<FeedResult> {
        this.throwIfDown();
        if (this.isCompacted || eraOf(after) !== this.era || after > this.newest) {
            this.isCompacted = false;
            return Promise.resolve({ kind: FeedKind.HistoryGone });
        }
        const rows = [...this.rows.values()].filter(row => row.table === table && row.version > counterOf(after));
        return Promise.resolve({ kind: FeedKind.Changes, rows: rows.map(row => this.toAnswer(row)), version: this.newest });
    }

    transact(transaction: RowTransaction): Promise<TransactionResult> {
        this.writes++;
        this.throwIfDown();
        if (this.random() >= this.lossShare) {
            return Promise.resolve(this.apply(transaction));
        }
        if (this.random() < 0.5) {
            this.apply(transaction);
        }
        else {
            setTimeout(() => this.apply(transaction), this.random() * maxLateWriteMs);
        }
        return this.rejectWithLostAnswer(Verdict.MayHaveRun);
    }

    private apply({ conditions, puts, removes = [] }: RowTransaction): TransactionResult {
        const current = conditions.map(condition => this.rows.get(rowKey(condition)));
        if (conditions.some(({ version }, index) => (current[index]?.version ?? 0) !== counterOf(version))) {
            const rows = current.filter(row => row !== undefined).map(row => this.toAnswer(row));
            return { kind: TransactionKind.Conflict, rows, version: this.newest, nowMs: this.nowMs };
        }
        const version = ++this.version;
        puts.forEach(put => this.rows.set(rowKey(put), { ...put, version }));
        removes.forEach(name => this.rows.set(rowKey(name), { ...name, value: undefined, version }));
        return { kind: TransactionKind.Committed, version: this.newest, nowMs: this.nowMs };
    }

    private throwIfDown(): void {
        if (this.isDown) {
            throw FailureError.create({ kind: FailureKind.TableUnavailable, verdict: Verdict.NotRun, detail: "the store is down" });
        }
    }

    private rejectWithLostAnswer(verdict: Verdict): Promise<never> {
        return Promise.reject(FailureError.create({ kind: FailureKind.TableUnavailable, verdict, detail: "the store's answer was lost" }));
    }
}

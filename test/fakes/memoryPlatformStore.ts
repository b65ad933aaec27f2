import { FailureError } from "../../src/core/failures";
import { FailureKind } from "../../src/types/failureKind";
import type { FeedResult, RowName, RowResult, RowStore, RowTransaction, StoredRow, TransactionResult, VersionedRows } from "../../src/types/rowStore";
import { FeedKind, TransactionKind } from "../../src/types/rowStore";
import { Verdict } from "../../src/types/verdict";
import type { Random } from "../../src/utils/random";

const nameOf = ({ table, part, key }: RowName): string => `${table}\n${part}\n${key}`;

/** Longest delay of a write whose answer is lost. */
const latenessMs = 6_000;

const clockOffsetMs = 5_000_000;

/** The platform's store in memory. Answers may be lost; a write without an answer may be done late, if its conditions still hold. */
export class MemoryPlatformStore implements RowStore {
    isDown = false;
    /** Share of writes whose answer is lost. */
    lossShare = 0.05;
    /** Whether the feed has dropped its history. */
    isCompacted = false;
    /** Transactions that were asked for. */
    writes = 0;
    private version = 0;
    private readonly rows = new Map<string, StoredRow>();

    private constructor(private readonly random: Random) {}

    static create(random: Random): MemoryPlatformStore {
        return new MemoryPlatformStore(random);
    }

    /** The store's steady clock, which began at another time than this process's. */
    get nowMs(): number {
        return performance.now() + clockOffsetMs;
    }

    /** Puts or drops a row as another writer. */
    put(name: RowName, value: Buffer | undefined): void {
        this.rows.set(nameOf(name), { ...name, value, version: ++this.version });
    }

    readTable(table: string): Promise<VersionedRows> {
        this.checkUp();
        return Promise.resolve({ rows: [...this.rows.values()].filter(row => row.table === table && row.value), version: this.version });
    }

    readRow(name: RowName): Promise<RowResult> {
        this.checkUp();
        return Promise.resolve({ row: this.rows.get(nameOf(name)), nowMs: this.nowMs });
    }

    feed(table: string, after: number): Promise<FeedResult> {
        this.checkUp();
        if (this.isCompacted) {
            this.isCompacted = false;
            return Promise.resolve({ kind: FeedKind.HistoryGone });
        }
        const rows = [...this.rows.values()].filter(row => row.table === table && row.version > after);
        return Promise.resolve({ kind: FeedKind.Changes, rows, version: this.version });
    }

    transact(transaction: RowTransaction): Promise<TransactionResult> {
        this.writes++;
        this.checkUp();
        if (this.random() >= this.lossShare) {
            return Promise.resolve(this.apply(transaction));
        }
        if (this.random() < 0.5) {
            this.apply(transaction);
        }
        else {
            setTimeout(() => this.apply(transaction), this.random() * latenessMs);
        }
        return this.lose(Verdict.MayHaveRun);
    }

    private apply({ conditions, puts }: RowTransaction): TransactionResult {
        const current = conditions.map(condition => this.rows.get(nameOf(condition)));
        if (conditions.some(({ version }, at) => (current[at]?.version ?? 0) !== version)) {
            return { kind: TransactionKind.Conflict, rows: current.filter(row => row !== undefined), nowMs: this.nowMs };
        }
        const version = ++this.version;
        puts.forEach(put => this.rows.set(nameOf(put), { ...put, version }));
        return { kind: TransactionKind.Committed, version, nowMs: this.nowMs };
    }

    private checkUp(): void {
        if (this.isDown) {
            throw FailureError.create({ kind: FailureKind.TableUnavailable, verdict: Verdict.NotRun, detail: "down" });
        }
    }

    private lose(verdict: Verdict): Promise<never> {
        return Promise.reject(FailureError.create({ kind: FailureKind.TableUnavailable, verdict, detail: "no answer" }));
    }
}

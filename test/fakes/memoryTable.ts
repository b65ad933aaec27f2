import { FailureError } from "../../src/core/failures";
import { FailureKind } from "../../src/types/failureKind";
import type { CommitResult, Table, TableCommit, TableRow } from "../../src/types/table";
import { CommitKind } from "../../src/types/table";
import { Verdict } from "../../src/types/verdict";

/** Faults that the table injects. A count is decremented each time its fault is injected. */
export interface TableFaults {
    down: boolean;
    /** Commits that take effect while their answers are lost. */
    loseAnswers: number;
    /** Commits that are dropped before they take effect; the caller gets no answer and cannot tell. */
    loseCommits: number;
    /** Commits that take effect `lateMs` after the caller was given a lost answer. */
    lateCommits: number;
    lateMs: number;
    slowMs: number;
}

/** The table of standalone nodes, in memory, with injected faults. */
export class MemoryTable implements Table {
    readonly rows = new Map<string, TableRow>();
    readonly faults: TableFaults = { down: false, loseAnswers: 0, loseCommits: 0, lateCommits: 0, lateMs: 0, slowMs: 0 };
    readonly counts = { reads: 0, writes: 0 };
    private version = 0;

    private constructor(private readonly checksConditions: boolean) {}

    /** Creates a table. One that ignores conditions serves to show that a test fails without them. */
    static create(checksConditions = true): MemoryTable {
        return new MemoryTable(checksConditions);
    }

    async read(key: string): Promise<TableRow | undefined> {
        await this.applyDelayAndOutage();
        this.counts.reads++;
        return this.rows.get(key);
    }

    async list(prefix: string, after = "", limit = 1_000): Promise<readonly TableRow[]> {
        await this.applyDelayAndOutage();
        this.counts.reads++;
        const keys = [...this.rows.keys()].filter(key => key.startsWith(prefix) && key > after).sort();
        return keys.slice(0, limit).map(key => this.rows.get(key)!);
    }

    async commit(commit: TableCommit): Promise<CommitResult> {
        await this.applyDelayAndOutage();
        if (this.faults.loseCommits > 0) {
            this.faults.loseCommits--;
            throw this.createLostAnswerError();
        }
        if (this.faults.lateCommits > 0) {
            this.faults.lateCommits--;
            setTimeout(() => this.apply(commit), this.faults.lateMs);
            throw this.createLostAnswerError();
        }
        const result = this.apply(commit);
        if (this.faults.loseAnswers > 0) {
            this.faults.loseAnswers--;
            throw this.createLostAnswerError();
        }
        return result;
    }

    /** Applies a commit regardless of the faults. */
    apply({ conditions, writes }: TableCommit): CommitResult {
        const failed = conditions.find(({ key, version }) => (this.rows.get(key)?.version ?? 0) !== version);
        if (failed && this.checksConditions) {
            return { kind: CommitKind.Conflict, key: failed.key };
        }
        this.counts.writes += writes.length;
        this.version++;
        for (const { key, value } of writes) {
            if (value === undefined) {
                this.rows.delete(key);
            }
            else {
                // Stores a copy, as a remote table does: later changes by the writer to its object have no effect.
                this.rows.set(key, { key, value: JSON.parse(JSON.stringify(value)), version: this.version });
            }
        }
        return { kind: CommitKind.Committed, version: this.version };
    }

    private async applyDelayAndOutage(): Promise<void> {
        if (this.faults.slowMs > 0) {
            await new Promise(resolve => setTimeout(resolve, this.faults.slowMs));
        }
        if (this.faults.down) {
            throw FailureError.create({ kind: FailureKind.TableUnavailable, verdict: Verdict.NotRun, detail: "the table is down" });
        }
    }

    private createLostAnswerError(): Error {
        return FailureError.create({ kind: FailureKind.TableUnavailable, verdict: Verdict.MayHaveRun, detail: "the table's answer was lost" });
    }
}

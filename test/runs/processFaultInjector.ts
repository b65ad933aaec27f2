import type { CommitResult, Table, TableCommit, TableRow } from "../../src/types/table";

/** Suspends or kills a simulated process at each of its calls to another process. */
export class ProcessFaultInjector {
    private suspension: Promise<void> = Promise.resolve();
    private isKilled = false;

    static create(): ProcessFaultInjector {
        return new ProcessFaultInjector();
    }

    /** Resolves as soon as the process is not suspended; never resolves after it was killed. */
    async waitUntilRunning(): Promise<void> {
        await this.suspension;
        if (this.isKilled) {
            await new Promise(() => undefined);
        }
    }

    kill(): void {
        this.isKilled = true;
    }

    suspend(ms: number): void {
        this.suspension = new Promise(resolve => setTimeout(resolve, ms));
    }
}

/** The table as one process calls it: the process can be suspended or killed before a request is sent and before the answer is read. */
export const withProcessFaults = (table: Table, processFaults: ProcessFaultInjector): Table => {
    const callWithFaults = async <T>(call: () => Promise<T>): Promise<T> => {
        await processFaults.waitUntilRunning();
        try {
            return await call();
        }
        finally {
            await processFaults.waitUntilRunning();
        }
    };
    return {
        read: (key): Promise<TableRow | undefined> => callWithFaults(() => table.read(key)),
        list: (prefix, after, limit): Promise<readonly TableRow[]> => callWithFaults(() => table.list(prefix, after, limit)),
        commit: (commit: TableCommit): Promise<CommitResult> => callWithFaults(() => table.commit(commit)),
    };
};

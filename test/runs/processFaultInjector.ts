import type { CommitResult, Table, TableCommit, TableRow } from "../../src/types/table";

/** Lets a process be killed or frozen at every point where it meets the world. */
export class ProcessFaultInjector {
    private frozenUntil: Promise<void> = Promise.resolve();
    private isDead = false;

    static create(): ProcessFaultInjector {
        return new ProcessFaultInjector();
    }

    /** Passes when the process runs; never, once it is dead. */
    async waitUntilRunning(): Promise<void> {
        await this.frozenUntil;
        if (this.isDead) {
            await new Promise(() => undefined);
        }
    }

    kill(): void {
        this.isDead = true;
    }

    suspend(ms: number): void {
        this.frozenUntil = new Promise(resolve => setTimeout(resolve, ms));
    }
}

/** A table as one process meets it: it can be frozen or killed before a request leaves and before the answer is read. */
export const withProcessFaults = (table: Table, gate: ProcessFaultInjector): Table => {
    const gated = async <T>(call: () => Promise<T>): Promise<T> => {
        await gate.waitUntilRunning();
        try {
            return await call();
        }
        finally {
            await gate.waitUntilRunning();
        }
    };
    return {
        read: (key): Promise<TableRow | undefined> => gated(() => table.read(key)),
        list: (prefix, after, limit): Promise<readonly TableRow[]> => gated(() => table.list(prefix, after, limit)),
        commit: (commit: TableCommit): Promise<CommitResult> => gated(() => table.commit(commit)),
    };
};

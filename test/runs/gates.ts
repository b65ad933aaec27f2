import type { CommitResult, Table, TableCommit, TableRow } from "../../src/types/table";

/** Lets a process be killed or frozen at every point where it meets the world. */
export class Gate {
    private frozenUntil: Promise<void> = Promise.resolve();
    private isDead = false;

    static create(): Gate {
        return new Gate();
    }

    /** Passes when the process runs; never, once it is dead. */
    async pass(): Promise<void> {
        await this.frozenUntil;
        if (this.isDead) {
            await new Promise(() => undefined);
        }
    }

    kill(): void {
        this.isDead = true;
    }

    freeze(ms: number): void {
        this.frozenUntil = new Promise(resolve => setTimeout(resolve, ms));
    }
}

/** A table as one process meets it: it can be frozen or killed before a request leaves and before the answer is read. */
export const gateTable = (table: Table, gate: Gate): Table => {
    const gated = async <T>(call: () => Promise<T>): Promise<T> => {
        await gate.pass();
        try {
            return await call();
        }
        finally {
            await gate.pass();
        }
    };
    return {
        read: (key): Promise<TableRow | undefined> => gated(() => table.read(key)),
        list: (prefix, after, limit): Promise<readonly TableRow[]> => gated(() => table.list(prefix, after, limit)),
        commit: (commit: TableCommit): Promise<CommitResult> => gated(() => table.commit(commit)),
    };
};

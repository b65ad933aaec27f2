import fc from "fast-check";
import type { MemoryTable } from "../fakes/memoryTable";

/** A fault to inject into the table that the processes share. */
export interface TableFault {
    readonly op: "table";
    readonly fault: "down" | "loseAnswers" | "loseCommits" | "lateCommits";
    readonly ms: number;
}

const commitsPerFault = 2;

/** Generates table faults. */
export const tableFaultArbitrary: fc.Arbitrary<TableFault> = fc.record({
    op: fc.constant("table" as const),
    fault: fc.constantFrom("down" as const, "loseAnswers" as const, "loseCommits" as const, "lateCommits" as const),
    ms: fc.nat(12_000),
});

/** Injects a fault; an outage ends by itself after `ms`. */
export const injectTableFault = (table: MemoryTable, { fault, ms }: TableFault): void => {
    if (fault !== "down") {
        Object.assign(table.faults, { [fault]: commitsPerFault, lateMs: ms });
        return;
    }
    table.faults.down = true;
    setTimeout(() => table.faults.down = false, ms);
};

/** Clears all injected faults of the table. */
export const clearTableFaults = (table: MemoryTable): void => void Object.assign(table.faults, { down: false, loseAnswers: 0, loseCommits: 0, lateCommits: 0 });

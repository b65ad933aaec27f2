import fc from "fast-check";
import type { MemoryTable } from "../fakes/memoryTable";

/** A fault of the platform's table. */
export interface TableFault {
    readonly op: "table";
    readonly fault: "down" | "loseAnswers" | "loseCommits" | "lateCommits";
    readonly ms: number;
}

const lostAtOnce = 2;

/** Draws a fault of the table. */
export const tableFaultArbitrary: fc.Arbitrary<TableFault> = fc.record({
    op: fc.constant("table" as const),
    fault: fc.constantFrom("down" as const, "loseAnswers" as const, "loseCommits" as const, "lateCommits" as const),
    ms: fc.nat(12_000),
});

/** Brings a fault about; an outage ends by itself. */
export const injectTableFault = (table: MemoryTable, { fault, ms }: TableFault): void => {
    if (fault !== "down") {
        Object.assign(table.faults, { [fault]: lostAtOnce, lateMs: ms });
        return;
    }
    table.faults.down = true;
    setTimeout(() => table.faults.down = false, ms);
};

/** Ends all faults of the table. */
export const clearTableFaults = (table: MemoryTable): void => void Object.assign(table.faults, { down: false, loseAnswers: 0, loseCommits: 0, lateCommits: 0 });

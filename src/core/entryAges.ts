import type { LedgerEntry, LedgerRow } from "../types/ledger";
import { getOrCreate } from "../utils/maps";

const keyOf = (runner: string, { artifact, state, orderId }: LedgerEntry): string => `${runner} ${artifact} ${state} ${orderId}`;

/** How long ago a holder first saw each ledger entry in its state, by its own monotonic clock: clocks of two nodes are never compared. */
export class EntryAges {
    private readonly seenAt = new Map<string, number>();

    private constructor() {}

    /** Makes ages of a holder that has seen nothing. */
    static create(): EntryAges {
        return new EntryAges();
    }

    /** Time since the entry was first seen in its state; 0 where it is seen for the first time. */
    ageOf(runner: string, entry: LedgerEntry): number {
        const now = performance.now();
        return now - getOrCreate(this.seenAt, keyOf(runner, entry), () => now);
    }

    /** Forgets the entries that are in no row. */
    keepOnly(rows: readonly LedgerRow[]): void {
        const present = new Set(rows.flatMap(row => row.entries.map(entry => keyOf(row.runner, entry))));
        [...this.seenAt.keys()].filter(key => !present.has(key)).forEach(key => this.seenAt.delete(key));
    }
}

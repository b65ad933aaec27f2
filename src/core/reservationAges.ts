import type { MemoryReservation, ReservationRow } from "../types/memoryReservation";
import { getOrCreate } from "../utils/maps";

const keyOf = (runner: string, { artifact, state, orderId }: MemoryReservation): string => `${runner} ${artifact} ${state} ${orderId}`;

/** How long ago a holder first saw each ledger entry in its state, by its own monotonic clock: clocks of two nodes are never compared. */
export class ReservationAges {
    private readonly seenAt = new Map<string, number>();

    private constructor() {}

    /** Makes ages of a holder that has seen nothing. */
    static create(): ReservationAges {
        return new ReservationAges();
    }

    /** Time since the entry was first seen in its state; 0 where it is seen for the first time. */
    ageOf(runner: string, entry: MemoryReservation): number {
        const now = performance.now();
        return now - getOrCreate(this.seenAt, keyOf(runner, entry), () => now);
    }

    /** Forgets the entries that are in no row. */
    keepOnly(rows: readonly ReservationRow[]): void {
        const present = new Set(rows.flatMap(row => row.entries.map(entry => keyOf(row.runner, entry))));
        [...this.seenAt.keys()].filter(key => !present.has(key)).forEach(key => this.seenAt.delete(key));
    }
}

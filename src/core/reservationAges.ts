import type { MemoryReservation, ReservationRow } from "../types/memoryReservation";
import { getOrCreate } from "../utils/maps";

const keyOf = (runner: string, { artifact, state, orderId }: MemoryReservation): string => `${runner} ${artifact} ${state} ${orderId}`;

/**
 * Tracks how long ago this process first saw each memory reservation in its present state. Ages are taken from its own monotonic clock, so that clocks
 * of two nodes are never compared.
 */
export class ReservationAges {
    private readonly firstSeenAt = new Map<string, number>();

    private constructor() {}

    /** Creates an empty tracker. */
    static create(): ReservationAges {
        return new ReservationAges();
    }

    /** Time since the reservation was first seen in its present state; 0 on the first call for it. */
    ageOf(runner: string, reservation: MemoryReservation): number {
        const now = performance.now();
        return now - getOrCreate(this.firstSeenAt, keyOf(runner, reservation), () => now);
    }

    /** Removes the reservations that are not in any of the rows. */
    keepOnly(rows: readonly ReservationRow[]): void {
        const present = new Set(rows.flatMap(row => row.entries.map(reservation => keyOf(row.runner, reservation))));
        [...this.firstSeenAt.keys()].filter(key => !present.has(key)).forEach(key => this.firstSeenAt.delete(key));
    }
}

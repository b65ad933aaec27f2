import type { LoadSize } from "./loadSize";

/** An order whose answer was lost may still be executed this much later. */
const orderLatenessMs = 15_000;

interface LateLoad extends LoadSize {
    readonly until: number;
}

/**
 * Memory and adapter slots kept free after a restart of a runner under the same ID for loads that were sent before it without an answer. A copy of
 * such an order may still be on its way, also if another copy has been executed, and the restarted runner executes it if its count of orders matches.
 */
export class LateReservations {
    /** Loads without an answer, by order: of several copies of one order at most one is executed. */
    private readonly unanswered = new Map<string, LateLoad>();
    private reservations: readonly LateLoad[] = [];

    private constructor(private readonly now: () => number) {}

    static create(now: () => number): LateReservations {
        return new LateReservations(now);
    }

    /** Records that the answer to a load was lost. `order` identifies the order. */
    onUnanswered(order: string, size: LoadSize): void {
        [...this.unanswered].filter(([, { until }]) => until <= this.now()).forEach(([key]) => this.unanswered.delete(key));
        this.unanswered.set(order, { ...size, until: this.now() + orderLatenessMs });
    }

    /** Reserves what loads without an answer take up, as the runner has restarted. */
    onRestart(): void {
        this.reservations = [...this.reservations, ...this.unanswered.values()];
        this.unanswered.clear();
    }

    /** Sum of the reservations that still hold. */
    get total(): LoadSize {
        this.reservations = this.reservations.filter(({ until }) => until > this.now());
        return {
            memoryMb: this.reservations.reduce((sum, { memoryMb }) => sum + memoryMb, 0),
            adapterSlots: this.reservations.reduce((sum, { adapterSlots }) => sum + adapterSlots, 0),
        };
    }
}

import type { EngineOrder } from "../../src/types/order";
import { OrderAnswer } from "../../src/types/order";
import type { ProcessFaultInjector } from "./processFaultInjector";

/** What can happen to an order on its way. */
export type OrderFault = "lost" | "late" | "doubled" | "paused";

/** Longer than a lease and the lateness bound together. */
const pausedMs = 25_000;
const noFaults: Readonly<Record<OrderFault, number>> = { lost: 0, late: 0, doubled: 0, paused: 0 };

/** Carries orders from stewards to engines; loses, delays and doubles them. */
export class FaultyOrderNetwork {
    private readonly faults: Record<OrderFault, number> = { ...noFaults };
    private delayMs = 0;

    static create(): FaultyOrderNetwork {
        return new FaultyOrderNetwork();
    }

    /** Brings a fault about for the next orders. */
    injectFault(fault: OrderFault, count: number, delayMs: number): void {
        this.faults[fault] = count;
        this.delayMs = delayMs;
    }

    /** Ends all faults. */
    clearFaults(): void {
        Object.assign(this.faults, noFaults);
    }

    /** Delivers an order, or what the faults leave of it. */
    async deliver(order: EngineOrder, gate: ProcessFaultInjector, receive: (order: EngineOrder) => OrderAnswer): Promise<OrderAnswer> {
        // A holder may be paused between its last check and the moment at which the order leaves.
        if (this.spend("paused")) {
            gate.suspend(pausedMs);
        }
        await gate.waitUntilRunning();
        if (this.spend("lost")) {
            return OrderAnswer.Unknown;
        }
        if (this.spend("late")) {
            setTimeout(() => receive(order), this.delayMs);
            return OrderAnswer.Unknown;
        }
        if (this.spend("doubled")) {
            setTimeout(() => receive(order), this.delayMs);
        }
        return receive(order);
    }

    private spend(fault: OrderFault): boolean {
        return this.faults[fault] > 0 && this.faults[fault]-- > 0;
    }
}

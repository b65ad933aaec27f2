import type { EngineOrder } from "../../src/types/order";
import { OrderAnswer } from "../../src/types/order";
import type { ProcessFaultInjector } from "./processFaultInjector";

/** Delivery faults of an order: it is lost, delayed, duplicated, or its sender is suspended just before it sends the order. */
export type OrderFault = "lost" | "late" | "doubled" | "paused";

/** Longer than the zone lease and the lateness bound of orders together. */
const suspensionMs = 25_000;
const noFaults: Readonly<Record<OrderFault, number>> = { lost: 0, late: 0, doubled: 0, paused: 0 };

/** Delivers orders from zone controllers to engines and can lose, delay or duplicate them. */
export class FaultyOrderNetwork {
    private readonly remainingFaults: Record<OrderFault, number> = { ...noFaults };
    private delayMs = 0;

    static create(): FaultyOrderNetwork {
        return new FaultyOrderNetwork();
    }

    /** Injects a fault into the next `count` orders. */
    injectFault(fault: OrderFault, count: number, delayMs: number): void {
        this.remainingFaults[fault] = count;
        this.delayMs = delayMs;
    }

    /** Clears all faults that are still to be applied. */
    clearFaults(): void {
        Object.assign(this.remainingFaults, noFaults);
    }

    /** Delivers an order, subject to the injected faults. */
    async deliver(order: EngineOrder, senderFaults: ProcessFaultInjector, receive: (order: EngineOrder) => OrderAnswer): Promise<OrderAnswer> {
        // The sender may be suspended between its last lease check and the moment at which it sends the order.
        if (this.consumeFault("paused")) {
            senderFaults.suspend(suspensionMs);
        }
        await senderFaults.waitUntilRunning();
        if (this.consumeFault("lost")) {
            return OrderAnswer.Unknown;
        }
        if (this.consumeFault("late")) {
            setTimeout(() => receive(order), this.delayMs);
            return OrderAnswer.Unknown;
        }
        if (this.consumeFault("doubled")) {
            setTimeout(() => receive(order), this.delayMs);
        }
        return receive(order);
    }

    private consumeFault(fault: OrderFault): boolean {
        return this.remainingFaults[fault] > 0 && this.remainingFaults[fault]-- > 0;
    }
}

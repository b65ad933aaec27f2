import { randomUUID } from "node:crypto";
import type { EngineLookup } from "../types/engine";
import { EventId } from "../types/eventId";
import { ReservationState } from "../types/memoryReservation";
import type { EngineOrder } from "../types/order";
import { OrderAnswer, OrderKind } from "../types/order";
import type { ControlledRunner, LeaseCheck } from "../types/zoneController";
import { emit } from "../utils/events";
import { assertInvariant } from "../utils/invariants";
import { addReservation, reservationOf, updateReservation } from "./memoryReservations";
import type { ZoneReservations } from "./zoneReservations";

/** Orders of one term: the fencing number is the term times this span plus a counter. */
const fenceSpan = 2 ** 20;

const stateOfOrder: Readonly<Record<OrderKind, ReservationState>> = {
    [OrderKind.Load]: ReservationState.Loading,
    [OrderKind.Unload]: ReservationState.Unloading,
};

/** In whose name orders are sent. */
export interface OrderAuthority {
    readonly term: number;
    readonly holder: string;
    readonly latenessMs: number;
    readonly isHeld: LeaseCheck;
}

/** Sends orders to engines; the ledger holds the intent of each before it leaves. */
export class ZoneOrderSender {
    private counter = 0;

    private constructor(private readonly book: ZoneReservations, private readonly engines: EngineLookup, private readonly terms: OrderAuthority) {}

    /** Makes the desk of one term of a stewardship. */
    static create(book: ZoneReservations, engines: EngineLookup, terms: OrderAuthority): ZoneOrderSender {
        return new ZoneOrderSender(book, engines, terms);
    }

    /** Reserves memory for an artifact and orders its load; does nothing where the memory is taken. */
    async orderLoad(runner: ControlledRunner, artifact: string, memoryMiB: number): Promise<void> {
        const row = this.book.get(runner.vm.id);
        const reserved = row && addReservation(row, { artifact, memoryMiB, state: ReservationState.Loading, ...this.nextOrder() });
        if (reserved && await this.book.write(reserved)) {
            await this.send(runner, artifact, OrderKind.Load);
        }
    }

    /** Writes the intent of a further order for an entry and, after a last check, sends it. */
    async orderForReservation(runner: ControlledRunner, artifact: string, kind: OrderKind, check: () => void = () => undefined): Promise<void> {
        const row = this.book.get(runner.vm.id);
        if (
            row && reservationOf(row, artifact) &&
            await this.book.write(updateReservation(row, artifact, { state: stateOfOrder[kind], answered: false, ...this.nextOrder() }))
        ) {
            check();
            await this.send(runner, artifact, kind);
        }
    }

    private nextOrder() {
        return { orderId: randomUUID(), fence: this.terms.term * fenceSpan + ++this.counter, holder: this.terms.holder, since: Date.now() };
    }

    /** Sends the order whose intent the committed row holds. */
    private async send(runner: ControlledRunner, artifact: string, kind: OrderKind): Promise<void> {
        const entry = reservationOf(this.book.get(runner.vm.id)!, artifact);
        assertInvariant(
            entry?.state === stateOfOrder[kind],
            EventId.InvariantOrderRecorded,
            () => `${kind} of ${artifact} on ${runner.vm.id} is not in the ledger`,
        );
        // A holder that was paused after the write may have lost the stewardship; the entry stays and its successor resolves it.
        if (!this.terms.isHeld() || Date.now() - entry.since > this.terms.latenessMs / 2) {
            return;
        }
        const order: EngineOrder = { orderId: entry.orderId, kind, artifact, memoryMiB: entry.memoryMiB, fence: entry.fence };
        const answer = await this.engines(runner.vm.url).order(order);
        const fields = { runner: runner.vm.id, order: order.orderId, kind, artifact, answer };
        emit(EventId.OrderSent, fields);
        if (answer === OrderAnswer.Unknown) {
            emit(EventId.OrderUnanswered, fields);
        }
        else if (answer !== OrderAnswer.Accepted) {
            emit(EventId.OrderRefused, fields);
        }
    }
}

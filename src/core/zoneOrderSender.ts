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

/** Fencing numbers reserved for each term: an order's number is the term times this plus a counter. */
const fencesPerTerm = 2 ** 20;

const reservationStateOf: Readonly<Record<OrderKind, ReservationState>> = {
    [OrderKind.Load]: ReservationState.Loading,
    [OrderKind.Unload]: ReservationState.Unloading,
};

/** The lease term under which orders are sent, and the check that it is still held. */
export interface OrderAuthority {
    readonly term: number;
    readonly holder: string;
    readonly latenessMs: number;
    readonly isHeld: LeaseCheck;
}

/** Sends a zone controller's orders to engines. The intent of each order is committed to the runner's memory reservation before it is sent. */
export class ZoneOrderSender {
    private orderCount = 0;

    private constructor(private readonly reservations: ZoneReservations, private readonly engines: EngineLookup, private readonly authority: OrderAuthority) {}

    /** Creates the sender for one term of a zone controller. */
    static create(reservations: ZoneReservations, engines: EngineLookup, authority: OrderAuthority): ZoneOrderSender {
        return new ZoneOrderSender(reservations, engines, authority);
    }

    /** Reserves memory for an artifact and orders its load; does nothing where it does not fit or has a reservation already. */
    async orderLoad(runner: ControlledRunner, artifact: string, memoryMiB: number): Promise<void> {
        const row = this.reservations.get(runner.vm.id);
        const reserved = row && addReservation(row, { artifact, memoryMiB, state: ReservationState.Loading, ...this.nextOrder() });
        if (reserved && await this.reservations.write(reserved)) {
            await this.send(runner, artifact, OrderKind.Load);
        }
    }

    /** Writes the intent of a further order for an existing reservation, runs `check` and sends the order. */
    async orderForReservation(runner: ControlledRunner, artifact: string, kind: OrderKind, check: () => void = () => undefined): Promise<void> {
        const row = this.reservations.get(runner.vm.id);
        if (
            row && reservationOf(row, artifact) &&
            await this.reservations.write(updateReservation(row, artifact, { state: reservationStateOf[kind], answered: false, ...this.nextOrder() }))
        ) {
            check();
            await this.send(runner, artifact, kind);
        }
    }

    private nextOrder() {
        return { orderId: randomUUID(), fence: this.authority.term * fencesPerTerm + ++this.orderCount, holder: this.authority.holder, since: Date.now() };
    }

    /** Sends the order whose intent is in the committed row. */
    private async send(runner: ControlledRunner, artifact: string, kind: OrderKind): Promise<void> {
        const reservation = reservationOf(this.reservations.get(runner.vm.id)!, artifact);
        assertInvariant(
            reservation?.state === reservationStateOf[kind],
            EventId.InvariantOrderRecorded,
            () => `${kind} of ${artifact} on ${runner.vm.id} has no matching memory reservation`,
        );
        // A holder that was paused after the write may have lost its lease; the reservation stays, and the successor resolves it.
        if (!this.authority.isHeld() || Date.now() - reservation.since > this.authority.latenessMs / 2) {
            return;
        }
        const order: EngineOrder = { orderId: reservation.orderId, kind, artifact, memoryMiB: reservation.memoryMiB, fence: reservation.fence };
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

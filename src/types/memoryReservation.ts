/** State of a memory reservation. Reservations in every state count against the runner's memory. */
export enum ReservationState {
    /** A load order is about to be sent or has been sent. */
    Loading = "loading",
    Resident = "resident",
    /** The copy gets no new requests; the unload order has not been sent. */
    Draining = "draining",
    /** An unload order is about to be sent or has been sent. */
    Unloading = "unloading",
}

/** Memory reserved for one artifact on one runner. */
export interface MemoryReservation {
    readonly artifact: string;
    readonly memoryMiB: number;
    readonly state: ReservationState;
    readonly orderId: string;
    readonly fence: number;
    /** The process that sent or is about to send the order, as `node/incarnation`. */
    readonly holder: string;
    /** Whether the order is no longer pending: it was delivered, or the holder recorded that it will not send it any more. */
    readonly answered?: boolean;
    /** Time at which the state was entered, in milliseconds since the Unix epoch. */
    readonly since: number;
}

/** The memory reservations of one runner; one row of the table. */
export interface ReservationRow {
    readonly runner: string;
    readonly incarnation: string;
    readonly memoryMiB: number;
    readonly entries: readonly MemoryReservation[];
}

/** State of a ledger entry. Every state counts against the runner's memory. */
export enum ReservationState {
    /** A load order is about to leave or has left. */
    Loading = "loading",
    Resident = "resident",
    /** Routing is dropping the copy; the unload order has not left. */
    Draining = "draining",
    /** An unload order has left. */
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
    /** Whether the holder has said that it will not send the order any more. */
    readonly answered?: boolean;
    /** Epoch milliseconds at which the state was entered. */
    readonly since: number;
}

/** The reserved memory of one runner; one row of the table. */
export interface ReservationRow {
    readonly runner: string;
    readonly incarnation: string;
    readonly memoryMiB: number;
    readonly entries: readonly MemoryReservation[];
}

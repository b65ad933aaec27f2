/** Kind of an order to an engine. */
export enum OrderKind {
    Load = "load",
    Unload = "unload",
}

/** An order to an engine; the ID makes it idempotent, the fence lets an engine reject orders of a former lease holder. */
export interface EngineOrder {
    readonly orderId: string;
    readonly kind: OrderKind;
    readonly artifact: string;
    readonly memoryMiB: number;
    readonly fence: number;
}

/** Answer of an engine to an order. */
export enum OrderAnswer {
    Accepted = "accepted",
    StaleFence = "stale-fence",
    Refused = "refused",
    /** No answer was received: the order may still take effect. */
    Unknown = "unknown",
}

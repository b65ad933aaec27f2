/** Faults of an upstream, as shares of its requests or orders. */
export interface UpstreamFaults {
    lostAnswers: number;
    refusals: number;
    lateOrders: number;
}

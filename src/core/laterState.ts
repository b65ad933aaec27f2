import type { UpstreamServer } from "../types/upstreamServer";
import { UpstreamState } from "../types/upstreamServer";

/**
 * Whether one state of an upstream came after another one, whatever versions the store gave their rows: a later process replaces an earlier one, no process
 * returns from draining, and its count of orders only rises.
 */
export const isLaterState = (state: UpstreamServer, other: UpstreamServer): boolean => {
    if (state.bornAt !== other.bornAt) {
        return state.bornAt > other.bornAt;
    }
    if (state.state !== other.state) {
        return state.state === UpstreamState.Draining;
    }
    return state.acceptedOrders > other.acceptedOrders;
};

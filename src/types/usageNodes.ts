import type { PeerNode } from "./peerNode";

/** The nodes among which the home nodes and deputies of customers are chosen. */
export interface UsageNodes {
    readonly self: PeerNode;
    /** All nodes including this one, or the seeds while only their addresses are known. */
    readonly nodes: readonly PeerNode[];
    /** Whether the controller has listed the nodes. */
    readonly isFleetKnown: boolean;
}

import type { PlatformNodeSettings } from "../types/platformNodeSettings";
import type { ControllerLink } from "./controllerLink";
import type { PeerDirectory } from "./peerDirectory";

/** The nodes among which each runner's pacer is chosen. */
export interface PacerNodes {
    readonly self: string;
    /** Addresses of all nodes including this one, or those of the seeds while only these are known. */
    readonly addresses: readonly string[];
}

/** All known nodes, or the seeds before any are known. */
export const pacerNodesOf = ({ peerAddress, seeds }: PlatformNodeSettings, link: ControllerLink, peers: PeerDirectory): PacerNodes => {
    const isFleetKnown = link.epoch !== undefined;
    return { self: peerAddress, addresses: [...new Set(isFleetKnown ? [peerAddress, ...peers.addresses] : seeds)].sort() };
};

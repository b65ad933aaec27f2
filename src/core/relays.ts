import type { PeerNode } from "../types/peerNode";
import { rankByHashCached } from "../utils/hash";

/** Up to this number of nodes, each reports to the controller itself. */
const maxDirectNodes = 24;
/** Number of nodes for each relay. It bounds the reports that a relay receives; the controller receives those of the relays. */
const nodesPerRelay = 16;

const compareAddresses = (a: PeerNode, b: PeerNode): number => a.address < b.address ? -1 : 1;

/**
 * The nodes of an availability zone that pass reports on to the controller: its largest ones, as many as its size requires. Without relays the
 * controller's load grows with the number of nodes, and so does the age of what the nodes know. Answers the load of 60 nodes and more.
 */
export const relaysOf = (zone: string, peers: readonly PeerNode[], controller?: string): readonly string[] => {
    const nodes = peers.filter(peer => peer.zone === zone && peer.address !== controller);
    const count = peers.length <= maxDirectNodes ? nodes.length : Math.ceil(nodes.length / nodesPerRelay);
    return [...nodes].sort((a, b) => b.cores - a.cores || compareAddresses(a, b)).slice(0, count).map(({ address }) => address);
};

/** The relays that a node reports through, in order of preference; empty if it reports to the controller itself. */
export const relaysFor = (self: PeerNode, peers: readonly PeerNode[], controller?: string): readonly string[] => {
    const relays = relaysOf(self.zone, peers, controller);
    return relays.includes(self.address) ? [] : rankByHashCached(self.address, relays);
};

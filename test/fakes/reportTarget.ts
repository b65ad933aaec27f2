import { relaysFor } from "../../src/core/relays";
import type { PeerNode } from "../../src/types/peerNode";
import type { Random } from "../../src/utils/random";
import { pick } from "../../src/utils/random";

/** The peer that a simulated node reports to, as `ControllerClient` chooses it: its relay or the controller, the first node; any peer without one. */
export const reportTargetOf = <T extends { readonly peer: PeerNode; }>(node: T, nodes: readonly T[], hasController: boolean, random: Random): T | undefined => {
    const [controller] = nodes;
    if (!hasController) {
        return pick(nodes.slice(1), random);
    }
    const [relay] = relaysFor(node.peer, nodes.map(({ peer }) => peer), controller!.peer.address);
    return node === controller ? undefined : nodes.find(({ peer }) => peer.address === relay) ?? controller;
};

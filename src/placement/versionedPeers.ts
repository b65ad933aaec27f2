import type { PeerNode } from "../types/peerNode";

/** A list of peers with a version that changes with it, so that it is sent only to nodes that have an older one. */
export class VersionedPeers {
    peers: readonly PeerNode[] = [];
    version = 0;
    private key = "";

    private constructor() {}

    static create(): VersionedPeers {
        return new VersionedPeers();
    }

    /** Replaces the list; the version increases only if its addresses differ. */
    update(peers: readonly PeerNode[]): void {
        const key = peers.map(({ address }) => address).sort().join(" ");
        if (key !== this.key) {
            this.key = key;
            this.peers = peers;
            this.version++;
        }
    }
}

import { PeerChoice } from "../core/peerChoice";
import { MemoryHolder } from "../types/memoryHolder";
import type { PeerNode } from "../types/peerNode";
import { getOrCreate } from "../utils/maps";
import type { Gateway } from "./gateway";
import { UpstreamConnectionPool } from "./upstreamConnectionPool";

/** Charge for a connection to a peer. */
const peerConnectionBytes = 32_768;

/** The peers through which this node serves callers while it does not reach the upstreams itself. */
export class PeerRelays {
    readonly choice: PeerChoice;
    private readonly poolByPeer = new Map<string, UpstreamConnectionPool>();
    /** Requests that were passed on and have not ended, and those that peers passed on to this node. */
    passedOn = 0;
    takenOver = 0;

    private constructor(private readonly gateway: Gateway) {
        this.choice = PeerChoice.create({
            ownAddress: () => gateway.settings.peerAddress,
            ownZone: () => gateway.settings.availabilityZone,
            random: () => gateway.random(),
        });
    }

    /** Creates the relays of a node that knows no peers yet. */
    static create(gateway: Gateway): PeerRelays {
        return new PeerRelays(gateway);
    }

    /** Replaces the known peers. */
    setPeers(peers: readonly PeerNode[]): void {
        this.choice.setPeers(peers);
        const known = new Set(peers.map(({ address }) => address));
        [...this.poolByPeer].filter(([address]) => !known.has(address)).forEach(([address, pool]) => {
            pool.close();
            this.poolByPeer.delete(address);
        });
    }

    poolOf(address: string): UpstreamConnectionPool {
        const { gateway } = this;
        return getOrCreate(this.poolByPeer, address, () =>
            UpstreamConnectionPool.create(address, gateway.settings.limits.maxAnswerHeadBytes, change => {
                gateway.upstreamConnections += change;
                gateway.memory.charge(MemoryHolder.UpstreamConnections, change * peerConnectionBytes);
            }));
    }
}

import { relaysFor } from "../core/relays";
import type { PeerNode } from "../types/peerNode";
import type { Random } from "../utils/random";
import { pick } from "../utils/random";

/** Time for which a relay that failed is not used. */
const failedRelayMs = 2_000;

/** The peers that a node knows, and which of them it reports to. */
export class PeerDirectory {
    /** Peers that the controller listed; only the seeds' addresses are known before. */
    private peers: readonly PeerNode[] = [];
    private readonly failedUntil = new Map<string, number>();

    private constructor(private readonly self: () => PeerNode, private readonly seeds: () => readonly string[], private readonly random: Random) {}

    static create(self: () => PeerNode, seeds: () => readonly string[], random: Random): PeerDirectory {
        return new PeerDirectory(self, seeds, random);
    }

    /** Replaces the list of peers. */
    setPeers(peers: readonly PeerNode[]): void {
        this.peers = peers;
    }

    /** Processor capacity of the largest known node, undefined before any is known. */
    get largestCores(): number | undefined {
        return this.peers.length === 0 ? undefined : Math.max(...this.peers.map(({ cores }) => cores));
    }

    /** All known peers but this node. */
    get nodes(): readonly PeerNode[] {
        const own = this.self().address;
        const known = this.peers.length > 1 ? this.peers : this.seeds().map(address => ({ address, zone: "", cores: 1 }));
        return known.filter(({ address }) => address !== own);
    }

    /** Addresses of all known peers but this node. */
    get addresses(): readonly string[] {
        return this.nodes.map(({ address }) => address);
    }

    /** Records that a peer did not answer. */
    onFailed(address: string): void {
        this.failedUntil.set(address, performance.now() + failedRelayMs);
    }

    /** The relay to report to; undefined if this node reports to the controller itself. */
    relayFor(controller: string | undefined): string | undefined {
        const now = performance.now();
        return relaysFor(this.self(), this.peers, controller).find(address => (this.failedUntil.get(address) ?? 0) <= now);
    }

    /** Some peer, for what it knows. */
    pickAny(): string | undefined {
        return pick(this.addresses, this.random);
    }
}

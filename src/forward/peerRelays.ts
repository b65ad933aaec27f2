import { PeerChoice } from "../core/peerChoice";
import { MemoryHolder } from "../types/memoryHolder";
import type { PeerNode } from "../types/peerNode";
import { getOrCreate } from "../utils/maps";
import type { Gateway } from "./gateway";
import { PeerProber } from "./peerProber";
import { PeerReach } from "./peerReach";
import { maxRelayHeaderBytes } from "./relayHeaders";
import { UpstreamConnectionPool } from "./upstreamConnectionPool";

/** Charge for a connection to a peer. */
const peerConnectionBytes = 32_768;

/** Time in which a connection to a peer must open: a request may have to try several of them one after the other. */
const connectTimeoutMs = 150;

/** After so many requests in a row that no peer took, the peers count as cut off as well, for a time. */
const minUntaken = 3;
const untakenLifetimeMs = 5_000;

/** The peers through which this node serves callers while it does not reach the upstreams itself. */
export class PeerRelays {
    readonly choice: PeerChoice;
    readonly prober: PeerProber;
    readonly reach: PeerReach;
    private readonly poolByPeer = new Map<string, UpstreamConnectionPool>();
    /** Requests that were passed on and have not ended, and those that peers passed on to this node. */
    passedOn = 0;
    takenOver = 0;

    /** Requests in a row that no peer took. */
    private untaken = 0;
    private untakenAt = 0;

    private constructor(private readonly gateway: Gateway) {
        this.choice = PeerChoice.create({
            ownAddress: () => gateway.settings.peerAddress,
            ownZone: () => gateway.settings.availabilityZone,
            random: () => gateway.random(),
        });
        this.prober = PeerProber.create(gateway.ownAnswers);
        this.reach = PeerReach.create(this.choice, this.prober);
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

    /** Whether other nodes are known. */
    get hasPeers(): boolean {
        return this.choice.hasPeers;
    }

    /** A peer took a request. */
    onTaken(): void {
        this.untaken = 0;
        this.reach.onTaken();
    }

    /** No peer took a request. */
    onUntaken(): void {
        this.untaken++;
        this.untakenAt = performance.now();
    }

    /** Whether lately no peer took any request. */
    get takeNone(): boolean {
        return this.untaken >= minUntaken && performance.now() - this.untakenAt < untakenLifetimeMs;
    }

    poolOf(address: string): UpstreamConnectionPool {
        const { gateway } = this;
        const onCount = (change: number): void => {
            gateway.upstreamConnections += change;
            gateway.memory.charge(MemoryHolder.UpstreamConnections, change * peerConnectionBytes);
        };
        const maxHeadBytes = gateway.settings.limits.maxAnswerHeadBytes + maxRelayHeaderBytes;
        return getOrCreate(this.poolByPeer, address, () => UpstreamConnectionPool.create(address, maxHeadBytes, onCount, undefined, connectTimeoutMs));
    }
}

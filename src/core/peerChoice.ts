import type { PeerNode } from "../types/peerNode";
import type { Random } from "../utils/random";
import { pick } from "../utils/random";

/** Peers that are looked at for one choice, however many there are. */
const maxDraws = 16;
/** After this many peers of an availability zone in a row took no request, the others are asked first. */
const maxZoneFailures = 2;
const zoneAvoidedMs = 1_000;
/** A request that so many peers did not take is offered to none of those that are avoided. */
const maxAskedInVain = 2;

/** Time for which a peer that is no longer listed is still known. */
const unlistedLifetimeMs = 15_000;

const hostOfAddress = (address: string): string => address.slice(0, address.lastIndexOf(":"));

/** How often peers of an availability zone took no request since one did. */
interface ZoneFailures {
    count: number;
    lastAt: number;
}

/** What a node chooses from. */
export interface PeerChoiceOptions {
    readonly ownAddress: () => string;
    readonly ownZone: () => string;
    readonly random: Random;
    readonly now?: () => number;
}

/** Chooses the peer through which a request is served: one of the own availability zone if they take requests, at random, the less busy one of two. */
export class PeerChoice {
    /** Peers with the time at which they were last listed. */
    private readonly listed = new Map<string, { readonly peer: PeerNode; readonly at: number; }>();
    private own: readonly PeerNode[] = [];
    private others: readonly PeerNode[] = [];
    private all: readonly PeerNode[] = [];
    private hosts: ReadonlySet<string> = new Set();
    private zones: ReadonlyMap<string, string> = new Map();
    /** Peers that take no requests for now, until a time. */
    private readonly avoidedUntil = new Map<string, number>();
    /** When each peer last took a request. */
    private readonly takenAt = new Map<string, number>();
    private readonly failures = new Map<string, ZoneFailures>();
    /** Requests in progress through each peer. */
    private readonly inProgress = new Map<string, number>();
    private readonly now: () => number;

    private constructor(private readonly options: PeerChoiceOptions) {
        this.now = options.now ?? (() => performance.now());
    }

    /** Creates a choice that knows no peers yet. */
    static create(options: PeerChoiceOptions): PeerChoice {
        return new PeerChoice(options);
    }

    /** Sets the known peers; the node itself may be among them. Those that are no longer listed are kept for a while: a new controller lists only nodes that have reported to it. */
    setPeers(listed: readonly PeerNode[]): void {
        const { ownAddress, ownZone } = this.options;
        const own = ownAddress();
        const zone = ownZone();
        const now = this.now();
        listed.forEach(peer => this.listed.set(peer.address, { peer, at: now }));
        [...this.listed].filter(([, { at }]) => now - at > unlistedLifetimeMs).forEach(([address]) => this.listed.delete(address));
        const peers = [...this.listed.values()].map(({ peer }) => peer);
        this.all = peers.filter(({ address }) => address !== own);
        this.own = this.all.filter(peer => peer.zone === zone);
        this.others = this.all.filter(peer => peer.zone !== zone);
        this.hosts = new Set(peers.map(({ address }) => hostOfAddress(address)));
        this.zones = new Map(this.all.map(peer => [peer.address, peer.zone]));
        for (const times of [this.avoidedUntil, this.takenAt]) {
            [...times.keys()].filter(address => !this.zones.has(address)).forEach(address => times.delete(address));
        }
    }

    /** Whether any peer is known. */
    get hasPeers(): boolean {
        return this.all.length > 0;
    }

    /** Whether a known peer has this host. */
    isKnownHost(host: string): boolean {
        return this.hosts.has(host);
    }

    /** The peer that a request is sent to: one that takes requests, as far as is known, and otherwise the one that took a request last. */
    chooseForRequest(asked: ReadonlySet<string>): string | undefined {
        return this.choose(asked) ?? (asked.size < maxAskedInVain ? this.chooseAvoided(asked) : undefined);
    }

    /** A peer to be asked, except those that were; undefined if none of those that were looked at takes requests. */
    choose(asked: ReadonlySet<string>): string | undefined {
        const mayAsk = ({ address }: PeerNode): boolean => !asked.has(address) && !this.isAvoided(address);
        const isInZone = ({ zone }: PeerNode): boolean => !this.isZoneAvoided(zone);
        const groups: readonly (readonly [readonly PeerNode[], (peer: PeerNode) => boolean])[] = [
            [this.own, isInZone],
            [this.others, isInZone],
            [this.all, () => true],
        ];
        for (const [peers, isPreferred] of groups) {
            const candidates = this.sample(peers).filter(peer => isPreferred(peer) && mayAsk(peer));
            if (candidates.length > 0) {
                return this.lessBusy(pick(candidates, this.options.random)!.address, pick(candidates, this.options.random)!.address);
            }
        }
        return undefined;
    }

    /** One failure may have been the request's: if all peers are avoided, the one that took a request last is asked all the same. */
    private chooseAvoided(asked: ReadonlySet<string>): string | undefined {
        const takenAt = ({ address }: PeerNode): number => this.takenAt.get(address) ?? Number.NEGATIVE_INFINITY;
        const candidates = this.sample(this.all).filter(({ address }) => !asked.has(address));
        return candidates.reduce<PeerNode | undefined>((best, peer) => best && takenAt(best) >= takenAt(peer) ? best : peer, undefined)?.address;
    }

    /** A request is being sent to a peer. */
    onBegin(address: string): void {
        this.inProgress.set(address, this.inProgressAt(address) + 1);
    }

    /** A request that was sent to a peer has ended. */
    onEnd(address: string): void {
        const count = this.inProgressAt(address) - 1;
        if (count > 0) {
            this.inProgress.set(address, count);
        }
        else {
            this.inProgress.delete(address);
        }
    }

    /** A peer took a request. */
    onTaken(address: string): void {
        const zone = this.zones.get(address);
        if (zone !== undefined) {
            this.failures.delete(zone);
        }
        this.avoidedUntil.delete(address);
        this.takenAt.set(address, this.now());
    }

    /** A peer takes no requests; it is not asked for a time. */
    onUntaken(address: string, avoidedMs: number): void {
        const now = this.now();
        this.avoidedUntil.set(address, now + avoidedMs);
        const zone = this.zones.get(address);
        if (zone !== undefined) {
            this.failures.set(zone, { count: (this.failures.get(zone)?.count ?? 0) + 1, lastAt: now });
        }
    }

    private isAvoided(address: string): boolean {
        return (this.avoidedUntil.get(address) ?? 0) > this.now();
    }

    private isZoneAvoided(zone: string): boolean {
        const failures = this.failures.get(zone);
        return failures !== undefined && failures.count >= maxZoneFailures && this.now() - failures.lastAt < zoneAvoidedMs;
    }

    private sample(peers: readonly PeerNode[]): readonly PeerNode[] {
        return peers.length <= maxDraws ? peers : Array.from({ length: maxDraws }, () => pick(peers, this.options.random)!);
    }

    private lessBusy(a: string, b: string): string {
        return this.inProgressAt(b) < this.inProgressAt(a) ? b : a;
    }

    private inProgressAt(address: string): number {
        return this.inProgress.get(address) ?? 0;
    }
}

import { RankHistory } from "../core/rankHistory";
import type { ReserveShare } from "../core/usageReserve";
import type { UsageNodes } from "../types/usageNodes";
import { rankByHash } from "../utils/hash";
import { getOrCreate } from "../utils/maps";

/** Customers whose ranking is kept until the list of nodes changes: only the result, as a ranking of 400 nodes takes some 10 KB. */
const maxRanked = 4_096;

/** The nodes that decide on a customer's usage, and since when this node has its rank for it. */
interface CustomerRanks {
    readonly home: string | undefined;
    readonly deputy: string | undefined;
    readonly firstSince: number;
    readonly rankSince: number;
}

/** Which nodes decide on the usage of a customer, and since when this node is one of them. */
export class UsageRoles {
    private readonly history: RankHistory;
    private addresses: readonly string[] = [];
    private zoneAddresses: ReadonlySet<string> = new Set();
    private readonly ranks = new Map<string, CustomerRanks>();

    private constructor(private known: UsageNodes) {
        this.history = RankHistory.create(known.self.address);
        this.update(known);
    }

    /** Creates the roles of a node among the nodes that are known. */
    static create(known: UsageNodes): UsageRoles {
        return new UsageRoles(known);
    }

    /** Takes note of the nodes that are known now. Each list counts: one that is missed could hide that another node was the home meanwhile. */
    update(known: UsageNodes): void {
        const { self, nodes, isFleetKnown } = known;
        this.known = known;
        this.addresses = nodes.map(({ address }) => address).sort();
        this.zoneAddresses = new Set(nodes.filter(({ zone }) => zone === self.zone).map(({ address }) => address));
        this.ranks.clear();
        if (isFleetKnown) {
            this.history.update(this.addresses);
        }
    }

    get self(): string {
        return this.known.self.address;
    }

    get isFleetKnown(): boolean {
        return this.known.isFleetKnown;
    }

    /** Zone of a node; undefined if it is not known. */
    zoneOf(address: string): string | undefined {
        return this.known.nodes.find(node => node.address === address)?.zone;
    }

    /** Zones of the other nodes, as far as they are known. */
    get otherZones(): readonly string[] {
        const { nodes, isFleetKnown } = this.known;
        return isFleetKnown ? [...new Set(nodes.filter(({ address }) => address !== this.self).map(({ zone }) => zone))] : [];
    }

    get reserveShare(): ReserveShare {
        return { nodes: this.addresses.length, zoneNodes: this.zoneAddresses.size };
    }

    /** Since when this node has known the fleet. */
    get knownSince(): number {
        return this.history.knownSince;
    }

    homeOf(customer: string): string | undefined {
        return this.ranksOf(customer).home;
    }

    /** The node that stands in for the home node in this node's zone: the first in rank but the home node itself, which is the one that was not reached. */
    deputyOf(customer: string): string | undefined {
        return this.ranksOf(customer).deputy;
    }

    /** Since when this node is the home of a customer; undefined if it is not, or does not know the fleet. */
    homeSince(customer: string): number | undefined {
        const { home, firstSince } = this.ranksOf(customer);
        return this.known.isFleetKnown && home === this.self ? firstSince : undefined;
    }

    /** Since when this node is certainly its zone's deputy for a customer: no node has come or gone that ranks before it. */
    deputySince(customer: string): number | undefined {
        const { deputy, rankSince } = this.ranksOf(customer);
        return this.known.isFleetKnown && deputy === this.self ? rankSince : undefined;
    }

    private ranksOf(customer: string): CustomerRanks {
        if (this.ranks.size >= maxRanked && !this.ranks.has(customer)) {
            this.ranks.clear();
        }
        return getOrCreate(this.ranks, customer, () => {
            const ranked = rankByHash(customer, this.addresses);
            const [home] = ranked;
            const deputy = ranked.find(address => address !== home && this.zoneAddresses.has(address));
            return { home, deputy, firstSince: this.history.firstSince(customer), rankSince: this.history.rankSince(customer) };
        });
    }
}

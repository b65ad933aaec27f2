import { RankHistory } from "../core/rankHistory";
import type { ReserveShare } from "../core/usageReserve";
import type { UsageNodes } from "../types/usageNodes";
import { ownerOf, rankByHashCached } from "../utils/hash";

/** Which nodes decide on the usage of a customer, and since when this node is one of them. */
export class UsageRoles {
    private readonly history: RankHistory;
    private addresses: readonly string[] = [];
    private zoneAddresses: readonly string[] = [];

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
        this.zoneAddresses = nodes.filter(({ zone }) => zone === self.zone).map(({ address }) => address).sort();
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
        return { nodes: this.addresses.length, zoneNodes: this.zoneAddresses.length };
    }

    /** Since when this node has known the fleet. */
    get knownSince(): number {
        return this.history.knownSince;
    }

    homeOf(customer: string): string | undefined {
        return ownerOf(customer, this.addresses);
    }

    /** The node that stands in for the home node in this node's zone: the first in rank but the home node itself, which is the one that was not reached. */
    deputyOf(customer: string): string | undefined {
        const home = this.homeOf(customer);
        return rankByHashCached(customer, this.zoneAddresses).find(address => address !== home);
    }

    /** Since when this node is the home of a customer; undefined if it is not, or does not know the fleet. */
    homeSince(customer: string): number | undefined {
        return this.known.isFleetKnown && this.homeOf(customer) === this.self ? this.history.firstSince(customer) : undefined;
    }

    /** Since when this node is certainly its zone's deputy for a customer: no node has come or gone that ranks before it. */
    deputySince(customer: string): number | undefined {
        return this.known.isFleetKnown && this.deputyOf(customer) === this.self ? this.history.rankSince(customer) : undefined;
    }
}

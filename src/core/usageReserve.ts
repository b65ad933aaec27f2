import type { UsageBounds } from "../types/usageBounds";
import { getOrCreate } from "../utils/maps";
import type { BucketLimit } from "./usageBucket";

/** Share of what the rule allows beyond the limit that zones may grant without the home node, and the share of a zone's reserve that its nodes may grant without the deputy. */
const zonesShare = 0.5;
const nodesShare = 0.3;
/** Number of parts that the grants of a window are counted in. */
const windowParts = 32;
const msPerSecond = 1_000;

/** The nodes that share a reserve. */
export interface ReserveShare {
    readonly nodes: number;
    readonly zoneNodes: number;
}

/** Units that a zone may grant in a window while it does not reach a customer's home node: part of what the rule allows beyond the limit. */
export const zoneReserveOf = ({ perSecond, burst }: BucketLimit, { windowMs, overrun, slack }: UsageBounds, { nodes, zoneNodes }: ReserveShare): number =>
    (zoneNodes / Math.max(1, nodes)) * zonesShare * (overrun * (perSecond * windowMs / msPerSecond + burst) + slack);

/** Units that one node may grant in a window while it reaches neither the home node nor its zone's deputy. */
export const nodeReserveOf = (limit: BucketLimit, bounds: UsageBounds, share: ReserveShare): number =>
    nodesShare * zoneReserveOf(limit, bounds, share) / Math.max(1, share.zoneNodes);

/** What this node has granted from a reserve, by customer, within the last window. */
export class UsageReserve {
    /** Granted units by the part of time in which they were granted. */
    private readonly granted = new Map<string, Map<number, number>>();

    private constructor() {}

    static create(): UsageReserve {
        return new UsageReserve();
    }

    /** Customers of which grants are remembered. */
    get size(): number {
        return this.granted.size;
    }

    /**
     * Grants units if no window gets more than `perWindow`; returns whether it did. In the first window after `since` nothing is granted: this node does not know
     * what was granted before.
     */
    take(customer: string, units: number, perWindow: number, windowMs: number, since: number): boolean {
        const now = performance.now();
        if (now - since < windowMs || units > perWindow) {
            return false;
        }
        const partMs = windowMs / windowParts;
        const part = Math.floor(now / partMs);
        this.forget(part);
        const parts = this.granted.get(customer);
        const sum = parts ? [...parts.values()].reduce((total, value) => total + value, 0) : 0;
        if (sum + units > perWindow) {
            return false;
        }
        const counted = getOrCreate(this.granted, customer, () => new Map<number, number>());
        counted.set(part, (counted.get(part) ?? 0) + units);
        return true;
    }

    /** Removes grants that lie more than a window back, and customers without any. */
    private forget(part: number): void {
        for (const [customer, parts] of this.granted) {
            [...parts.keys()].filter(grantedIn => grantedIn < part - windowParts).forEach(grantedIn => parts.delete(grantedIn));
            if (parts.size === 0) {
                this.granted.delete(customer);
            }
        }
    }
}

/** A node's count of its requests without a place is forgotten after this time. */
const lifetimeMs = 1_500;

interface Unplaced {
    readonly count: number;
    readonly tokens: number;
    readonly expiresAt: number;
}

/** Requests in progress at one upstream for which it gave no place, as the nodes report them. */
export class UnplacedRequests {
    private readonly byNode = new Map<string, Unplaced>();

    private constructor() {}

    static create(): UnplacedRequests {
        return new UnplacedRequests();
    }

    /** Number of nodes that have some. */
    get size(): number {
        return this.byNode.size;
    }

    get count(): number {
        return [...this.byNode.values()].reduce((sum, { count }) => sum + count, 0);
    }

    /** Tokens of the generations among them. */
    get tokens(): number {
        return [...this.byNode.values()].reduce((sum, { tokens }) => sum + tokens, 0);
    }

    /** Age of the oldest report that counts; 0 without one. */
    get oldestReportMs(): number {
        const now = performance.now();
        return Math.round(Math.max(0, ...[...this.byNode.values()].map(({ expiresAt }) => now + lifetimeMs - expiresAt)));
    }

    /** Records what a node reports. */
    set(node: string, count: number, tokens: number): void {
        if (count > 0) {
            this.byNode.set(node, { count, tokens, expiresAt: performance.now() + lifetimeMs });
        }
        else {
            this.byNode.delete(node);
        }
    }

    removeExpired(now: number): void {
        this.byNode.forEach(({ expiresAt }, node) => expiresAt <= now && this.byNode.delete(node));
    }
}

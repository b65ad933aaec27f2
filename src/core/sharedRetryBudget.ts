/** Limit on the retries that all nodes together may send to one service within a window. */
export interface RetryBudgetRules {
    /** Share of the window's requests that may be retried. */
    readonly retryRatio: number;
    readonly retryWindowMs: number;
    /** Retries allowed in the window beyond that share. */
    readonly retrySlack: number;
}

/** Part of the allowance that is used. The rest covers differences between the nodes' counts at the edges of a window. */
const usedShare = 0.8;

/** Limits this node's retries to one service to its share of what all nodes together may send in a window. */
export class SharedRetryBudget {
    private requestTimes: number[] = [];
    private retryTimes: number[] = [];
    private prunedAt = Number.NEGATIVE_INFINITY;

    private constructor(private readonly rules: () => RetryBudgetRules, private readonly nodeCount: () => number, private readonly now: () => number) {}

    /** Creates a budget that `nodeCount` nodes share. */
    static create(rules: () => RetryBudgetRules, nodeCount: () => number, now: () => number = () => performance.now()): SharedRetryBudget {
        return new SharedRetryBudget(rules, nodeCount, now);
    }

    /** Records a caller's request. */
    countRequest(): void {
        if (this.now() - this.prunedAt > this.rules().retryWindowMs) {
            this.prune();
        }
        this.requestTimes.push(this.now());
    }

    /** Requests and retries that are remembered: those of two windows at most. */
    get size(): number {
        return this.requestTimes.length + this.retryTimes.length;
    }

    /** Takes one retry from the budget; false when it is spent. */
    withdraw(): boolean {
        const { retryRatio, retrySlack } = this.rules();
        this.prune();
        const allowed = usedShare * (retryRatio * this.requestTimes.length + retrySlack / Math.max(1, this.nodeCount()));
        if (this.retryTimes.length + 1 > allowed) {
            return false;
        }
        this.retryTimes.push(this.now());
        return true;
    }

    private prune(): void {
        const windowStart = this.now() - this.rules().retryWindowMs;
        this.requestTimes = this.requestTimes.filter(at => at > windowStart);
        this.retryTimes = this.retryTimes.filter(at => at > windowStart);
        this.prunedAt = this.now();
    }
}

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

    private constructor(private readonly rules: () => RetryBudgetRules, private readonly nodeCount: () => number, private readonly now: () => number) {}

    /** Creates a budget that `nodeCount` nodes share. */
    static create(rules: () => RetryBudgetRules, nodeCount: () => number, now: () => number = () => performance.now()): SharedRetryBudget {
        return new SharedRetryBudget(rules, nodeCount, now);
    }

    /** Records a caller's request. */
    countRequest(): void {
        this.requestTimes.push(this.now());
    }

    /** Takes one retry from the budget; false when it is spent. */
    withdraw(): boolean {
        const { retryRatio, retryWindowMs, retrySlack } = this.rules();
        const windowStart = this.now() - retryWindowMs;
        this.requestTimes = this.requestTimes.filter(at => at > windowStart);
        this.retryTimes = this.retryTimes.filter(at => at > windowStart);
        const allowed = usedShare * (retryRatio * this.requestTimes.length + retrySlack / Math.max(1, this.nodeCount()));
        if (this.retryTimes.length + 1 > allowed) {
            return false;
        }
        this.retryTimes.push(this.now());
        return true;
    }
}

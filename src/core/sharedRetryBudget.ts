/** What bounds the repeats that all nodes together may send to one service. */
export interface RetryBudgetRules {
    /** Share of the requests in a window, and a number beyond it. */
    readonly retryRatio: number;
    readonly retryWindowMs: number;
    readonly retrySlack: number;
}

/** Part of the allowance that is used; the rest covers what nodes count differently at the edges of a window. */
const usedShare = 0.8;

/** Bounds this node's repeats to one service: its share of what the whole system may send in a window. */
export class SharedRetryBudget {
    private requests: number[] = [];
    private repeats: number[] = [];

    private constructor(private readonly rules: () => RetryBudgetRules, private readonly nodes: () => number, private readonly now: () => number) {}

    /** Makes a budget; `nodes` tells how many nodes share it. */
    static create(rules: () => RetryBudgetRules, nodes: () => number, now: () => number = () => performance.now()): SharedRetryBudget {
        return new SharedRetryBudget(rules, nodes, now);
    }

    /** Counts a request of a caller. */
    countRequest(): void {
        this.requests.push(this.now());
    }

    /** Takes one repeat from the budget; false when it is spent. */
    withdraw(): boolean {
        const { retryRatio, retryWindowMs, retrySlack } = this.rules();
        const oldest = this.now() - retryWindowMs;
        this.requests = this.requests.filter(at => at > oldest);
        this.repeats = this.repeats.filter(at => at > oldest);
        const allowed = usedShare * (retryRatio * this.requests.length + retrySlack / Math.max(1, this.nodes()));
        if (this.repeats.length + 1 > allowed) {
            return false;
        }
        this.repeats.push(this.now());
        return true;
    }
}

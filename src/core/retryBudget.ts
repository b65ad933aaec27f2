/** Retries credited for each first attempt. */
const retriesPerAttempt = 0.1;
/** Largest credit, and the initial one, so that a seldom-used model can retry at all. */
const maxTokens = 10;

/** Token bucket that limits the retries of one model or service to a share of its requests, so that an outage does not cause a retry storm. */
export class RetryBudget {
    private tokens = maxTokens;

    private constructor() {}

    /** Creates a full budget. */
    static create(): RetryBudget {
        return new RetryBudget();
    }

    /** Counts a first attempt. */
    deposit(): void {
        this.tokens = Math.min(maxTokens, this.tokens + retriesPerAttempt);
    }

    /** Takes one retry from the budget; false when it is spent. */
    withdraw(): boolean {
        if (this.tokens < 1) {
            return false;
        }
        this.tokens -= 1;
        return true;
    }
}

/** Retries allowed for each first attempt. */
const retryShare = 0.1;
/** Retries that may be saved up, so that a seldom-used model can retry at all. */
const maxTokens = 10;

/** Bounds the retries of one model or service to a share of its requests, so that an outage is not followed by a storm. */
export class RetryBudget {
    private tokens = maxTokens;

    private constructor() {}

    /** Makes a full budget. */
    static create(): RetryBudget {
        return new RetryBudget();
    }

    /** Counts a first attempt. */
    deposit(): void {
        this.tokens = Math.min(maxTokens, this.tokens + retryShare);
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

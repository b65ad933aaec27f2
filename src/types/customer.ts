/** What a usage limit counts. */
export enum UsageUnit {
    Requests = "requests",
    Tokens = "tokens",
}

/** How much a customer may use, over all nodes together. */
export interface UsageLimit {
    readonly unit: UsageUnit;
    /** Units per second that the allowance grows by. */
    readonly perSecond: number;
    /** Largest allowance, in units. */
    readonly burst: number;
    /** Units of a request that does not state its size; for limits in tokens. */
    readonly plainTokens: number;
}

/** A customer, without its keys. */
export interface Customer {
    readonly name: string;
    /** Compared before the priority of a route; 0 is served first. Undefined for a customer without one. */
    readonly priority?: number;
    /** Undefined without a limit. */
    readonly limit?: UsageLimit;
}

/** A customer, as operators declare it. Its keys are secrets: they appear in no log, metric or message between nodes. */
export interface CustomerSpec extends Customer {
    readonly apiKeys: readonly string[];
}

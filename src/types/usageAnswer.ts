import type { UsageOutcome } from "./usageOutcome";

/** The answer to one charge. */
export interface UsageAnswer {
    readonly outcome: UsageOutcome;
    /** Time after which a refused request finds room. */
    readonly retryAfterMs?: number;
    /** Address of the node, and the bucket there, that the charge can be returned to; undefined for what a reserve granted. */
    readonly node?: string;
    readonly bucket?: string;
}

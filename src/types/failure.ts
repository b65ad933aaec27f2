import type { FailureKind } from "./failureKind";
import type { Verdict } from "./verdict";

/** A failure with its verdict. The kind is the tag of the union that callers switch on. */
export interface Failure {
    readonly kind: FailureKind;
    readonly verdict: Verdict;
    readonly detail: string;
    /** How long the caller should wait before it asks again. */
    readonly retryAfterMs?: number;
    /** Further members of the RFC 9457 problem body. */
    readonly members?: Readonly<Record<string, unknown>>;
}

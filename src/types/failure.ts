import type { FailureKind } from "./failureKind";
import type { Verdict } from "./verdict";

/** A failure of a request, with its verdict. Callers switch on `kind`. */
export interface Failure {
    readonly kind: FailureKind;
    readonly verdict: Verdict;
    readonly detail: string;
    /** How long the caller should wait before it retries. */
    readonly retryAfterMs?: number;
    /** Further members of the RFC 9457 problem body. */
    readonly members?: Readonly<Record<string, unknown>>;
}

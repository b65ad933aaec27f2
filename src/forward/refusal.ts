import type { FailureKind } from "../types/failureKind";

/** Why a request is not sent to any upstream; it has not run. */
export interface Refusal {
    /** Why, if not for want of an upstream. */
    readonly kind?: FailureKind;
    readonly detail: string;
    readonly retryAfterMs: number;
    /** Whether the delay is already spread over callers. */
    readonly isSpread?: boolean;
}

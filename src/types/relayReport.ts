import type { FailureKind } from "./failureKind";
import type { Verdict } from "./verdict";

/** A failure of the peer's own, instead of an answer of an upstream. */
export interface RelayFailure {
    readonly kind: FailureKind;
    readonly detail: string;
    readonly retryAfterMs?: number;
}

/** What a peer says of a request that was passed on to it, in the head of its answer. */
export interface RelayReport {
    readonly verdict: Verdict;
    /** Sends to upstreams, and those of them that may have run. */
    readonly sends: number;
    readonly runs: number;
    /** The upstream that answered, and its software version. */
    readonly upstream?: string;
    readonly softwareVersion?: string;
    readonly failure?: RelayFailure;
}

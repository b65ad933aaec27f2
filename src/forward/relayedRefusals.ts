import { FailureKind } from "../types/failureKind";

/** Why there is no further attempt: the caller is told this and when to come back. */
export const relayedRefusals: ReadonlySet<FailureKind> = new Set([
    FailureKind.UpstreamsQuiet,
    FailureKind.UpstreamsBrittle,
    FailureKind.CapacityShort,
    FailureKind.ModelLate,
    FailureKind.UpstreamsFull,
    FailureKind.Stopping,
]);

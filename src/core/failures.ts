import type { Failure } from "../types/failure";
import { FailureKind } from "../types/failureKind";
import { Verdict } from "../types/verdict";

/** How failures of one kind are answered over HTTP. */
interface FailureClass {
    readonly status: number;
    readonly title: string;
}

/** HTTP status and title of every failure kind. */
export const failureClasses: Readonly<Record<FailureKind, FailureClass>> = {
    [FailureKind.BadJson]: { status: 400, title: "the body is not valid JSON" },
    [FailureKind.BadRequest]: { status: 400, title: "the request is not valid" },
    [FailureKind.BodyTooLarge]: { status: 413, title: "the body is too large" },
    [FailureKind.HeadersTooLarge]: { status: 431, title: "the headers are too large" },
    [FailureKind.SlowSender]: { status: 408, title: "the body did not arrive in time" },
    [FailureKind.UnknownPath]: { status: 404, title: "the path is unknown" },
    [FailureKind.MethodNotAllowed]: { status: 405, title: "the method is not allowed here" },
    [FailureKind.MissingKey]: { status: 401, title: "no key was given" },
    [FailureKind.WrongKey]: { status: 401, title: "the key is not known" },
    [FailureKind.ConfigUnconfirmed]: { status: 503, title: "the node does not know whether the key is valid" },
    [FailureKind.NotOffered]: { status: 403, title: "this is not offered to the caller" },
    [FailureKind.UnknownModel]: { status: 404, title: "the model is unknown" },
    [FailureKind.UnknownAdapter]: { status: 404, title: "the adapter is unknown" },
    [FailureKind.UnknownService]: { status: 404, title: "the service is unknown" },
    [FailureKind.DeadlineExpired]: { status: 408, title: "the deadline passed" },
    [FailureKind.QueueFull]: { status: 429, title: "the queue is full" },
    [FailureKind.UsageLimit]: { status: 429, title: "the customer's usage limit is reached" },
    [FailureKind.UsageUnknown]: { status: 503, title: "the node cannot tell whether the customer's usage limit is reached" },
    [FailureKind.NoUpstream]: { status: 503, title: "no upstream can take the request" },
    [FailureKind.UpstreamsQuiet]: { status: 503, title: "all upstreams asked for a pause" },
    [FailureKind.UpstreamsBrittle]: { status: 503, title: "all upstreams are brittle and have no room" },
    [FailureKind.CapacityShort]: { status: 503, title: "no upstream can begin the answer before the caller gives up" },
    [FailureKind.ModelLate]: { status: 503, title: "the model will be ready only after the caller gives up" },
    [FailureKind.UpstreamsFull]: { status: 503, title: "no runner with the model has room in time" },
    [FailureKind.NotReady]: { status: 503, title: "the node has no configuration yet" },
    [FailureKind.MemoryShort]: { status: 503, title: "the node has no memory for the body" },
    [FailureKind.HeapShort]: { status: 503, title: "the node has no memory for the request" },
    [FailureKind.ConnectionsShort]: { status: 503, title: "the node has no connection for the request" },
    [FailureKind.Stopping]: { status: 503, title: "the node is stopping" },
    [FailureKind.UpstreamRefused]: { status: 503, title: "the upstream refused the request" },
    [FailureKind.UpstreamLost]: { status: 502, title: "the connection to the upstream was lost" },
    [FailureKind.UpstreamEnded]: { status: 502, title: "the upstream's process has ended" },
    [FailureKind.UpstreamFailed]: { status: 502, title: "the upstream failed" },
    [FailureKind.AnswerMismatch]: { status: 502, title: "the upstream sent the answer to another request" },
    [FailureKind.AnswerTruncated]: { status: 502, title: "the answer was cut short" },
    [FailureKind.PromptQuarantined]: { status: 503, title: "runners crash on the request or a part of its prompt" },
    [FailureKind.StreamVersionGone]: { status: 503, title: "no upstream of the software version that began the stream is ready" },
    [FailureKind.StreamVersionUnknown]: { status: 503, title: "the software version that began the stream is not known" },
    [FailureKind.UpstreamsUnreachable]: { status: 503, title: "neither the node nor a peer reaches the upstreams" },
    [FailureKind.RelayRefused]: { status: 503, title: "the node does not take the request from a peer" },
    [FailureKind.RetryBudgetSpent]: { status: 503, title: "the retry budget is spent" },
    [FailureKind.CallerGone]: { status: 499, title: "the caller closed the connection" },
    [FailureKind.ClaimUnavailable]: { status: 503, title: "the claim could not be written" },
    [FailureKind.ClaimUnsettled]: { status: 409, title: "an earlier attempt with this key may have run" },
    [FailureKind.ClaimMismatch]: { status: 422, title: "the idempotency key was used for another request" },
    [FailureKind.TableUnavailable]: { status: 503, title: "the table service is unavailable" },
    [FailureKind.BadRecord]: { status: 422, title: "the record is not valid" },
    [FailureKind.RevisionConflict]: { status: 409, title: "the record was revised by another operator" },
    [FailureKind.UnknownRecord]: { status: 404, title: "the record does not exist" },
    [FailureKind.Internal]: { status: 500, title: "an internal error" },
};

/** The error that carries a failure through the call stack. */
export class FailureError extends Error {
    private constructor(readonly failure: Failure) {
        super(`${failureClasses[failure.kind].title}: ${failure.detail}`);
    }

    /** Wraps a failure. */
    static create(failure: Failure): FailureError {
        return new FailureError(failure);
    }
}

/** Throws a failure, with the verdict `not-run` unless another is given. */
export const raise = (kind: FailureKind, detail: string, verdict = Verdict.NotRun, extra?: Partial<Failure>): never => {
    throw FailureError.create({ ...extra, kind, detail, verdict });
};

/** The failure that an error carries. After any other error the request may have run. */
export const toFailure = (err: unknown): Failure => {
    if (err instanceof FailureError) {
        return err.failure;
    }
    return { kind: FailureKind.Internal, verdict: Verdict.MayHaveRun, detail: err instanceof Error ? err.message : String(err) };
};

/** Whether a failed attempt may be retried: always if it did not run, and only for a repeatable request if it may have run. */
export const mayRetry = (verdict: Verdict, repeatable: boolean): boolean => verdict === Verdict.NotRun || (repeatable && verdict === Verdict.MayHaveRun);

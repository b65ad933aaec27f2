import type { ServerResponse } from "node:http";
import { failureClasses } from "../core/failures";
import { EventId } from "../types/eventId";
import type { Failure } from "../types/failure";
import { FailureKind } from "../types/failureKind";
import { RequestStep } from "../types/requestStep";
import { Verdict } from "../types/verdict";
import { emit } from "../utils/events";
import type { Call } from "./call";
import { endUnread } from "./endUnread";
import { addReport } from "./relayHeaders";
import type { RequestProgress } from "./requestProgress";

const msPerSecond = 1_000;
const badGateway = 502;
const gatewayTimeout = 504;
const unavailable = 503;

/** Failures of the caller's request, answered with their own status. */
const callerErrorKinds: ReadonlySet<FailureKind> = new Set([
    FailureKind.BadRequest,
    FailureKind.BodyTooLarge,
    FailureKind.HeadersTooLarge,
    FailureKind.SlowSender,
    FailureKind.UnknownPath,
    FailureKind.MissingKey,
    FailureKind.WrongKey,
]);

/** Status 503 states that a request has not run, so only requests with that verdict get it. */
const statusOf = ({ kind, verdict }: Failure): number => {
    if (callerErrorKinds.has(kind)) {
        return failureClasses[kind].status;
    }
    if (verdict === Verdict.NotRun) {
        return unavailable;
    }
    return kind === FailureKind.DeadlineExpired ? gatewayTimeout : badGateway;
};

/** Ends an answer that has begun so that its caller sees that it is incomplete: without a last chunk, or by a reset for a caller that knows no chunks. */
export const cutAnswer = (res: ServerResponse): void => {
    if (res.chunkedEncoding) {
        res.destroy();
    }
    else {
        res.socket?.resetAndDestroy();
    }
};

/** Answers a request that failed without an answer from an upstream. A stream that has begun is cut: it must not look complete. */
export const answerFailure = (
    res: ServerResponse,
    progress: RequestProgress,
    failure: Failure,
    logFields: Readonly<Record<string, unknown>> = {},
): void => {
    const status = statusOf(failure);
    emit(EventId.RequestRefused, {
        request: progress.requestId,
        kind: failure.kind,
        verdict: failure.verdict,
        detail: failure.detail,
        status,
        retryAfterMs: failure.retryAfterMs,
        ...logFields,
    });
    progress.hasFinalLine = true;
    if (res.headersSent) {
        progress.isCut = true;
        cutAnswer(res);
        return;
    }
    // Headers of an upstream's answer that could not be relayed.
    res.getHeaderNames().filter(name => name !== "connection").forEach(name => res.removeHeader(name));
    if (failure.retryAfterMs !== undefined && status === unavailable) {
        res.setHeader("Retry-After", (failure.retryAfterMs / msPerSecond).toFixed(2));
    }
    addReport(res, progress, failure);
    const body = JSON.stringify({
        type: `urn:jackdawtrail:problem:${failure.kind}`,
        title: failureClasses[failure.kind].title,
        status,
        detail: failure.detail,
    });
    res.writeHead(status, { "Content-Type": "application/problem+json", "Content-Length": Buffer.byteLength(body) });
    res.write(body, err => progress.isAnswerWritten = !err);
    progress.step = RequestStep.Write;
    endUnread(res, progress.exitInMs);
};

/** Answers a request that was matched to a route and failed after a number of sends. */
export const answerFailedCall = ({ res, caller, route, service, configVersion, startedAt, progress }: Call, failure: Failure, sends: number): void => {
    const { model, adapter } = caller.modelRequest ?? {};
    const afterMs = Math.round(performance.now() - startedAt);
    answerFailure(res, progress, failure, { route: route.name, service, model, adapter, configVersion, sends, afterMs });
};

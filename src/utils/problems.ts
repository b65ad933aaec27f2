import { failureClasses } from "../core/failures";
import { EventId } from "../types/eventId";
import type { Failure } from "../types/failure";
import type { HttpExchange } from "../types/httpExchange";
import { emit } from "./events";

/** Header that carries the verdict. */
export const verdictHeader = "jackdawtrail-verdict";
/** Header that carries the request ID. */
export const requestIdHeader = "x-request-id";

const msPerSecond = 1_000;

/** The RFC 9457 problem body of a failure. */
export const toProblem = (failure: Failure, requestId: string): Record<string, unknown> => {
    const { status, title } = failureClasses[failure.kind];
    return {
        type: `urn:jackdawtrail:problem:${failure.kind}`,
        title,
        status,
        detail: failure.detail,
        reason: failure.kind,
        verdict: failure.verdict,
        requestId,
        ...failure.members,
    };
};

/** Sends a failure: as a problem document, or as an error event if the response has already started streaming. */
export const sendFailure = ({ res, req, requestId }: HttpExchange, failure: Failure): void => {
    emit(EventId.RequestRefused, { request: requestId, kind: failure.kind, verdict: failure.verdict, detail: failure.detail });
    const problem = toProblem(failure, requestId);
    if (res.headersSent) {
        res.end(`event: error\ndata: ${JSON.stringify({ error: problem })}\n\n`);
        return;
    }
    if (failure.retryAfterMs !== undefined) {
        res.setHeader("retry-after", Math.ceil(failure.retryAfterMs / msPerSecond));
    }
    if (!req.complete) {
        // The rest of the request body is not read, so the connection cannot be reused.
        res.setHeader("connection", "close");
    }
    res.writeHead(failureClasses[failure.kind].status, {
        "content-type": "application/problem+json",
        [verdictHeader]: failure.verdict,
        [requestIdHeader]: requestId,
    });
    res.end(JSON.stringify(problem));
};

/** Sends a JSON response. */
export const sendJson = ({ res, requestId }: HttpExchange, status: number, value: unknown, headers: Readonly<Record<string, string>> = {}): void => {
    res.writeHead(status, { "content-type": "application/json", [requestIdHeader]: requestId, ...headers });
    res.end(JSON.stringify(value));
};

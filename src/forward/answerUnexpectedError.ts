import type { IncomingMessage, ServerResponse } from "node:http";
import { EventId } from "../types/eventId";
import { FailureKind } from "../types/failureKind";
import { Verdict } from "../types/verdict";
import { emit } from "../utils/events";
import { describeError } from "../utils/transport";
import { answerFailure, cutAnswer } from "./answerFailure";
import type { RequestProgress } from "./requestProgress";

/** Retry-After of a request that has not run; at another node it may succeed. */
const retryAfterMs = 500;

/** Answers a request after an error that no step of its way has handled: with a failure and the verdict that is true, or by a cut if an answer has begun. */
export const answerUnexpectedError = (req: IncomingMessage, res: ServerResponse, progress: RequestProgress, err: unknown): void => {
    const { requestId, step, verdict } = progress;
    emit(EventId.RequestFailed, { request: requestId, step, verdict, hasBegun: res.headersSent, detail: describeError(err) });
    progress.hasFinalLine = true;
    if (res.closed || res.writableEnded) {
        return;
    }
    try {
        if (!res.headersSent && !req.complete) {
            res.setHeader("Connection", "close");
        }
        answerFailure(res, progress, {
            kind: FailureKind.Internal,
            verdict,
            detail: `an internal error at step "${step}"`,
            retryAfterMs: verdict === Verdict.NotRun ? retryAfterMs : undefined,
        });
    }
    catch (failed) {
        emit(EventId.RequestFailed, { request: requestId, step, verdict, hasBegun: res.headersSent, detail: describeError(failed) });
        progress.isCut = true;
        cutAnswer(res);
    }
};

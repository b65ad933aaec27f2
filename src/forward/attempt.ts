import type { Socket } from "node:net";
import type { Dispatcher } from "undici";
import { EventId } from "../types/eventId";
import type { AnswerHeaders, HeaderMap, RequestHeaderCodec } from "../types/requestHeaderCodec";
import { RequestStep } from "../types/requestStep";
import { emit } from "../utils/events";
import { describeError, errorCodeOf } from "../utils/transport";
import { AnswerFlow } from "./answerFlow";
import { AnswerFraming, framingOf } from "./answerFraming";
import type { AnswerHead, AnswerSink } from "./answerSink";
import { rejectionReasons, SinkState } from "./answerSink";
import type { AttemptEnd } from "./attemptEnd";
import { AttemptEndKind, OwnFault, ownFaultOf, withdrawn } from "./attemptEnd";
import { abortReason, invalidRequestCode, maxInformationalAnswers } from "./attemptErrors";
import type { CallerPresence } from "./callerPresence";
import { cutReasonOf } from "./cutReasonOf";
import { FramingWatch } from "./framingWatch";
import { isInvalidStatus } from "./isInvalidStatus";
import type { UpstreamConnection } from "./upstreamConnection";
import type { UpstreamConnectionPool } from "./upstreamConnectionPool";

/** A request as it is sent to an upstream. */
export interface OutgoingRequest {
    readonly requestId: string;
    readonly method: string;
    readonly path: string;
    /** Names and values, alternating. */
    readonly headers: string[];
    readonly body: Buffer;
    /** Called with the connection on which the body is about to be sent. */
    readonly onSend?: (socket: Socket) => void;
    readonly mayRepeat: boolean;
}

/** Connects an attempt with what is known of its upstream. */
export interface AttemptGuard {
    /** Whether the request may still be sent; asked when its connection is open. */
    mayStillSend(): boolean;
    /** Called with each head that arrives on the connection, also with that of an answer to another request. */
    onAnyHead(decoded: AnswerHeaders): void;
    /** Called when anything has arrived over the connection, with the time of its opening. */
    onArrival(connectionOpenedAt: number): void;
    /** Called with the size of each part of a body that arrives, also of one that is ignored. */
    onPart(bytes: number): void;
}

const exchange = (
    pool: UpstreamConnectionPool,
    acquire: () => UpstreamConnection,
    req: OutgoingRequest,
    wire: RequestHeaderCodec,
    sink: AnswerSink,
    guard: AttemptGuard,
    signal: AbortSignal,
): Promise<AttemptEnd> =>
    new Promise(resolve => {
        const logError = (step: RequestStep, err: unknown): void =>
            emit(EventId.AttemptStepFailed, { request: req.requestId, step, detail: describeError(err) });
        let connection: UpstreamConnection;
        try {
            connection = acquire();
        }
        catch (err) {
            logError(RequestStep.Send, err);
            resolve({ kind: AttemptEndKind.Unsent, reason: errorCodeOf(err), framing: undefined, own: OwnFault.Request });
            return;
        }
        let isSent = false;
        let isWithheld = false;
        let informationalAnswers = 0;
        const received = { parts: 0, bytes: 0 };
        let head: AnswerHead | undefined;
        let framing: AnswerFraming | undefined;
        /** Whether the rest of the answer is ignored. */
        let isDropped = false;
        let controller: Dispatcher.DispatchController | undefined;
        let framingWatch: FramingWatch | undefined;
        const finish = (kind: AttemptEndKind, reason: string, own?: OwnFault): void => {
            signal.removeEventListener("abort", onAbort);
            framingWatch?.stop();
            flow.drop();
            if (kind === AttemptEndKind.Complete) {
                pool.release(connection);
            }
            else {
                pool.discard(connection);
            }
            resolve({ kind, reason, framing, own, received });
        };
        const giveUp = (current: Dispatcher.DispatchController, reason: string): void => {
            isDropped = true;
            // The abort reports an error at once, which is not the reason.
            finish(AttemptEndKind.Lost, reason);
            current.abort(abortReason);
        };
        const onAbort = (): void => {
            controller?.abort(abortReason);
            finish(isSent ? AttemptEndKind.Aborted : AttemptEndKind.Unsent, "aborted");
        };
        /** An error of the node's own code ends this attempt alone. */
        const contain = <A extends readonly unknown[]>(step: RequestStep, handle: (...args: A) => void) => (...args: A): void => {
            try {
                handle(...args);
            }
            catch (err) {
                logError(step, err);
                isDropped = true;
                finish(isSent ? AttemptEndKind.Lost : AttemptEndKind.Unsent, `internal error at step "${step}"`, isSent ? undefined : OwnFault.Request);
                controller?.abort(abortReason);
            }
        };
        const deliver = contain(RequestStep.Data, (bytes: Buffer) => {
            const current = controller;
            if (!current || isDropped) {
                return;
            }
            guard.onArrival(connection.openedAt);
            const state = sink.onData(bytes, () => flow.resume(current));
            const rejection = rejectionReasons[state];
            if (rejection !== undefined) {
                giveUp(current, rejection);
            }
            else if (state === SinkState.Full) {
                flow.pause(current);
            }
        });
        const flow = AnswerFlow.create(deliver);
        signal.addEventListener("abort", onAbort, { once: true });
        const handlers: Dispatcher.DispatchHandler = {
            onRequestStart: started => {
                if (isSent) {
                    // undici is about to resend the request over a new connection.
                    started.abort(abortReason);
                    return;
                }
                if (!guard.mayStillSend()) {
                    isWithheld = true;
                    started.abort(abortReason);
                    return;
                }
                isSent = true;
                controller = started;
                const { socket } = connection;
                if (socket) {
                    req.onSend?.(socket);
                }
                framingWatch = socket && FramingWatch.start(socket, () => giveUp(started, "framing without end"));
            },
            onResponseStart: contain(RequestStep.Head, (current: Dispatcher.DispatchController, status: number, headers: HeaderMap) => {
                framingWatch?.onProgress();
                guard.onArrival(connection.openedAt);
                if (isInvalidStatus(status, req.requestId, pool.address)) {
                    giveUp(current, "invalid status");
                    return;
                }
                const decoded = wire.decodeAnswer(status, headers);
                guard.onAnyHead(decoded);
                if (status < 200) {
                    if (++informationalAnswers > maxInformationalAnswers && !isDropped) {
                        giveUp(current, "informational answers without end");
                    }
                    return;
                }
                // On a connection that has carried requests before, an answer without an ID may be an earlier one once more.
                const mayBeEarlier = decoded.isSigned || (decoded.isNotExecuted && connection.isReused);
                if (decoded.requestId === undefined ? mayBeEarlier : decoded.requestId !== req.requestId) {
                    giveUp(current, "answer to another request");
                    return;
                }
                head = { status, headers, decoded };
                framing = framingOf(headers);
                sink.onHead(head);
            }),
            onResponseData: contain(RequestStep.Data, (current: Dispatcher.DispatchController, chunk: Buffer) => {
                framingWatch?.onProgress();
                guard.onPart(chunk.length);
                received.parts++;
                received.bytes += chunk.length;
                if (!isDropped && !current.aborted) {
                    flow.add(chunk);
                }
            }),
            onResponseEnd: contain(RequestStep.End, () => {
                flow.flush();
                if (!isDropped) {
                    // A framed answer is complete, whatever happens to its connection afterwards.
                    const cutReason = framing === AnswerFraming.Connection ? cutReasonOf(connection, head) : undefined;
                    flow.end(() => finish(cutReason === undefined ? AttemptEndKind.Complete : AttemptEndKind.Lost, cutReason ?? "whole"));
                }
            }),
            // The controller is undefined if no connection was established.
            onResponseError: (current: Dispatcher.DispatchController | undefined, err) => {
                if (!current?.aborted) {
                    flow.flush();
                }
                if (isDropped) {
                    return;
                }
                if (isSent && !head && !current?.aborted) {
                    pool.onEndedUnanswered(connection);
                }
                const reason = `${errorCodeOf(err)}${current?.aborted ? " after an abort" : ""}`;
                const unopened = connection.isReused ? AttemptEndKind.Stale : AttemptEndKind.Unsent;
                const unsent = errorCodeOf(err) === invalidRequestCode ? AttemptEndKind.Unsendable : unopened;
                const own = !isSent && !isWithheld && !current?.aborted ? ownFaultOf(err) : undefined;
                if (own !== undefined) {
                    logError(RequestStep.Send, err);
                }
                finish(isWithheld ? AttemptEndKind.Withheld : isSent ? AttemptEndKind.Lost : unsent, reason, own);
            },
        };
        const outgoing = { method: req.method as Dispatcher.HttpMethod, path: req.path, headers: req.headers, body: req.body };
        contain(RequestStep.Send, () => void connection.client.dispatch(outgoing, handlers))();
    });

/**
 * Sends a request over one connection, if its caller is still there, and passes the answer to the sink. The connection is reused only after a complete answer
 * to this request. If a kept connection turns out to have been closed before the request was sent, a new one is opened.
 */
export const sendAttempt = async (
    pool: UpstreamConnectionPool,
    toRequest: () => OutgoingRequest,
    wire: RequestHeaderCodec,
    sink: AnswerSink,
    guard: AttemptGuard,
    presence: CallerPresence,
    signal: AbortSignal,
): Promise<AttemptEnd> => {
    await presence.confirm();
    if (signal.aborted) {
        return withdrawn;
    }
    const confirm = (): Promise<boolean> => presence.confirm();
    const req = toRequest();
    const end = await exchange(pool, () => pool.acquire(req.mayRepeat, confirm), req, wire, sink, guard, signal);
    if (end.kind !== AttemptEndKind.Stale) {
        return end;
    }
    emit(EventId.ConnectionStale, { request: req.requestId, address: pool.address, reason: end.reason });
    return signal.aborted ? withdrawn : exchange(pool, () => pool.acquireNew(confirm), toRequest(), wire, sink, guard, signal);
};

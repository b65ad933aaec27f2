import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { EventId } from "../types/eventId";
import { RequestCloser } from "../types/requestCloser";
import { RequestStep } from "../types/requestStep";
import { emit } from "../utils/events";
import { errorCodeOf } from "../utils/transport";
import type { Gateway } from "./gateway";
import type { RequestProgress } from "./requestProgress";

/** Requests that are named when the process exits. */
const maxNamedAtExit = 50;

/** A request that has been read and whose answer is not complete. */
interface OpenRequest {
    readonly req: IncomingMessage;
    readonly res: ServerResponse;
    readonly progress: RequestProgress;
    /** Bytes that its connection had been given before. */
    bytesBefore: number;
}

const closerOf = ({ errored, readableEnded }: Socket): RequestCloser => {
    if (errored) {
        return (errored as NodeJS.ErrnoException).syscall === "write" ? RequestCloser.WriteError : RequestCloser.Caller;
    }
    return readableEnded ? RequestCloser.Caller : RequestCloser.Node;
};

/** Logs the end of each request that gets no whole answer, whatever lines it has had before. */
export class RequestEnds {
    private readonly open = new Map<ServerResponse, OpenRequest>();

    private constructor(private readonly gateway: Gateway) {}

    static create(gateway: Gateway): RequestEnds {
        return new RequestEnds(gateway);
    }

    /** Watches a request until its answer has been written or its connection is closed. */
    watch(req: IncomingMessage, res: ServerResponse, progress: RequestProgress): void {
        const request = { req, res, progress, bytesBefore: req.socket.bytesWritten };
        this.open.set(res, request);
        let isWritten = false;
        // The runtime also announces this, and drops what is not written, when the connection is destroyed.
        res.once("finish", () => isWritten = !req.socket.destroyed);
        res.once("close", () => {
            if (this.open.delete(res)) {
                this.onClose(request, isWritten);
            }
        });
    }

    /** Notes that a request is no longer behind another one on its connection. */
    begin(res: ServerResponse): void {
        const request = this.open.get(res);
        if (request) {
            request.progress.step = RequestStep.Read;
            request.bytesBefore = request.req.socket.bytesWritten;
        }
    }

    /** Logs a request that is dropped behind another one, with which their connection ended. */
    drop(res: ServerResponse): void {
        const request = this.open.get(res);
        if (request) {
            this.open.delete(res);
            this.log(request, closerOf(request.req.socket));
        }
    }

    /** Logs the requests that the exit of the process cuts, up to a number. */
    logCutAtExit(): void {
        [...this.open.values()].slice(0, maxNamedAtExit).forEach(request => {
            this.open.delete(request.res);
            this.log(request, RequestCloser.Exit);
        });
    }

    private onClose(request: OpenRequest, isWritten: boolean): void {
        const { res, req: { socket }, progress } = request;
        if (progress.isCut || ((isWritten || progress.isAnswerWritten) && progress.hasFinalLine)) {
            return;
        }
        const closer = closerOf(socket);
        if (closer === RequestCloser.Caller && !res.headersSent && !progress.hasFinalLine) {
            emit(EventId.CallerLeft, this.fieldsOf(request));
        }
        else {
            this.log(request, closer);
        }
    }

    private log(request: OpenRequest, closer: RequestCloser): void {
        const { res, req: { socket }, progress, bytesBefore } = request;
        emit(EventId.RequestUnanswered, {
            ...this.fieldsOf(request),
            closer,
            verdict: progress.verdict,
            framing: progress.framing,
            status: res.headersSent ? res.statusCode : undefined,
            isEnded: res.writableEnded,
            handedBytes: res.headersSent ? socket.bytesWritten - bytesBefore : 0,
            unwrittenBytes: socket.destroyed ? undefined : res.writableLength,
        });
    }

    private fieldsOf({ req, progress }: OpenRequest): Readonly<Record<string, unknown>> {
        const { gateway: { isStopping, stopRequestedAt, wire } } = this;
        const now = performance.now();
        return {
            request: progress.step === RequestStep.Ahead ? wire.decodeCaller(req.headers).requestId : progress.requestId,
            upstream: progress.upstream,
            step: progress.step,
            detail: req.socket.errored ? errorCodeOf(req.socket.errored) : undefined,
            afterMs: Math.round(now - progress.startedAt),
            bodyBytes: progress.bodyBytes,
            statedBytes: req.headers["content-length"],
            isBodyWhole: req.complete,
            stoppingForMs: isStopping ? Math.round(now - stopRequestedAt) : undefined,
        };
    }
}

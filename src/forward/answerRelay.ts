import type { ServerResponse } from "node:http";
import type { HeaderMap } from "../types/requestHeaderCodec";
import { RouteKind } from "../types/servingConfig";
import { SseSplitter } from "../utils/sseSplitter";
import type { AnswerHead, AnswerSink } from "./attempt";
import type { Call } from "./call";

const connectionHeaders: ReadonlySet<string> = new Set(["connection", "keep-alive", "transfer-encoding", "upgrade", "proxy-connection", "te", "trailer"]);

const passHeaders = (res: ServerResponse, headers: HeaderMap, dropLength: boolean): void => {
    for (const [name, value] of Object.entries(headers)) {
        if (value !== undefined && !connectionHeaders.has(name) && !(dropLength && name === "content-length")) {
            res.setHeader(name, value);
        }
    }
};

const isSuccess = (status: number): boolean => status >= 200 && status < 300;

/** Hears of answers as they come. */
export interface AnswerObserver {
    /** The head of each attempt's answer. */
    onHead(head: AnswerHead): void;
    /** A pause between two pieces of a stream. */
    onEventGap(ms: number): void;
}

/** Passes the answer of a request on: streams event by event, everything else once it is whole. */
export class AnswerRelay implements AnswerSink {
    private readonly splitter = SseSplitter.create();
    private chunks: Buffer[] = [];
    /** Head of the newest attempt's answer. */
    head: AnswerHead | undefined;
    /** When the newest answer's last byte came, on the monotonic clock. */
    lastByteAt = 0;
    /** When the caller's answer began to come, on the monotonic clock. */
    firstByteAt = 0;
    private isStreaming = false;
    /** Whether a piece of the newest attempt's stream has come. */
    private hasPieces = false;

    private constructor(private readonly call: Call, private readonly observer: AnswerObserver) {}

    /** Makes the relay of one request. */
    static create(call: Call, observer: AnswerObserver): AnswerRelay {
        return new AnswerRelay(call, observer);
    }

    /** Whether part of a stream has reached the caller. */
    get hasBegun(): boolean {
        return this.call.res.headersSent;
    }

    /** Whether the newest attempt's answer may end the caller's: a stream goes on only with a stream. */
    get canComplete(): boolean {
        return this.isStreaming || !this.hasBegun;
    }

    /** ID of the last event that the caller has. */
    get lastEventId(): string | undefined {
        return this.splitter.lastEventId ?? this.call.caller.lastEventId;
    }

    /** Starts over for a further attempt. */
    reset(): void {
        this.head = undefined;
        this.chunks = [];
        this.isStreaming = false;
        this.hasPieces = false;
        this.splitter.dropPartialEvent();
    }

    onHead(head: AnswerHead): void {
        this.head = head;
        this.firstByteAt ||= performance.now();
        this.lastByteAt = performance.now();
        this.isStreaming = this.call.route.kind === RouteKind.Streaming && isSuccess(head.status) && head.decoded.isSigned;
        this.observer.onHead(head);
        const { res } = this.call;
        if (this.isStreaming && !res.headersSent) {
            passHeaders(res, head.headers, true);
            res.writeHead(head.status);
            res.flushHeaders();
        }
    }

    onData(chunk: Buffer, resume: () => void): boolean {
        const pauseMs = performance.now() - this.lastByteAt;
        this.lastByteAt = performance.now();
        if (!this.isStreaming) {
            this.chunks.push(chunk);
            return true;
        }
        if (this.hasPieces) {
            this.observer.onEventGap(pauseMs);
        }
        this.hasPieces = true;
        const events = this.splitter.push(chunk);
        if (events.length === 0 || this.call.res.write(events)) {
            return true;
        }
        this.call.res.once("drain", resume);
        return false;
    }

    /** Ends the caller's answer with the upstream's, which came whole. */
    complete(): void {
        const { res } = this.call;
        if (this.isStreaming) {
            res.end(this.splitter.partialEvent);
            return;
        }
        const head = this.head!;
        const body = Buffer.concat(this.chunks);
        passHeaders(res, head.headers, true);
        res.setHeader("content-length", body.length);
        res.writeHead(head.status);
        res.end(body);
    }
}

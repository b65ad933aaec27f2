import type { ServerResponse } from "node:http";
import type { AnswerHold } from "../core/answerMemory";
import { goOnAfter, holdEvent } from "../core/eventOrder";
import type { SlowReaders, UnreadStream } from "../core/slowReaders";
import type { HeaderMap } from "../types/requestHeaderCodec";
import { RouteKind } from "../types/servingConfig";
import type { TransportLimits } from "../types/transportLimits";
import { PartBuffer } from "../utils/partBuffer";
import { countEvents, SseSplitter } from "../utils/sseSplitter";
import type { AnswerHead, AnswerSink } from "./answerSink";
import { SinkState } from "./answerSink";
import type { Call } from "./call";
import { addReport } from "./relayHeaders";

const connectionHeaders: ReadonlySet<string> = new Set(["connection", "keep-alive", "transfer-encoding", "upgrade", "proxy-connection", "te", "trailer"]);

const copyHeaders = (res: ServerResponse, headers: HeaderMap, dropContentLength: boolean): void => {
    for (const [name, value] of Object.entries(headers)) {
        if (value !== undefined && !connectionHeaders.has(name) && !(dropContentLength && name === "content-length")) {
            res.setHeader(name, value);
        }
    }
};

const mediaTypeOf = (contentType: unknown): string => String(contentType ?? "").split(";", 1)[0]!.trim().toLowerCase();

const isSuccess = (status: number): boolean => status >= 200 && status < 300;

/** Receives notifications while answers arrive. */
export interface AnswerObserver {
    /** Called with the head of each attempt's answer. */
    onHead(head: AnswerHead): void;
    /** Called when the caller is about to receive the first event of its stream. */
    onFirstEvent(): void;
    /** Called with the time between two chunks of a stream. */
    onEventGap(ms: number): void;
}

/** A complete answer that is relayed if no later attempt gives one. */
interface KeptAnswer {
    readonly upstream: string;
    readonly head: AnswerHead;
    readonly parts: PartBuffer;
}

/** Relays the answer to a request: streams event by event, all other answers once they are complete. */
export class AnswerRelay implements AnswerSink {
    private readonly splitter = SseSplitter.create();
    private parts = PartBuffer.create();
    /** Head of the latest attempt's answer. */
    head: AnswerHead | undefined;
    /** When the head, a part of a plain answer or a complete event of the latest answer last arrived, on the monotonic clock. */
    lastProgressAt = 0;
    /** When the first head of an answer arrived, on the monotonic clock. */
    firstByteAt = 0;
    /** When the first event of the latest attempt's stream arrived, on the monotonic clock; undefined before it. */
    attemptEventAt: number | undefined;
    /** When the first event of a stream arrived, on the monotonic clock; 0 before it. */
    firstEventAt = 0;
    /** Longest time between two events of the stream. */
    maxEventGapMs = 0;
    /** Events that were relayed, of all attempts. */
    eventCount = 0;
    private readonly unread: UnreadStream;
    private onDrain: (() => void) | undefined;
    private isStreaming = false;
    private kept: KeptAnswer | undefined;

    private constructor(
        private readonly call: Call,
        private readonly limits: TransportLimits,
        private readonly hold: AnswerHold,
        private readonly observer: AnswerObserver,
        private readonly slowReaders: SlowReaders | undefined,
    ) {
        const { res } = call;
        this.unread = { request: call.caller.requestId, unreadBytes: () => res.writableLength, cut: () => res.destroy() };
        res.once("close", () => {
            hold.release();
            hold.countUntaken(0);
            slowReaders?.remove(this.unread);
        });
    }

    /**
     * Creates the relay of one request; what it keeps of answers is taken from `hold`. With `slowReaders` the upstream is read on if the caller is slow, otherwise it is
     * paused.
     */
    static create(call: Call, limits: TransportLimits, hold: AnswerHold, observer: AnswerObserver, slowReaders?: SlowReaders): AnswerRelay {
        return new AnswerRelay(call, limits, hold, observer, slowReaders);
    }

    /** Whether part of an answer has been sent to the caller. */
    get hasBegun(): boolean {
        return this.call.res.headersSent;
    }

    /** Whether the latest attempt's answer may complete the caller's: a stream can be continued only by a stream. */
    get canComplete(): boolean {
        return this.isStreaming || !this.hasBegun;
    }

    /** Whether the latest attempt's stream ended before it was complete: inside an event, or without one at the end of its connection. */
    isBrokenOff(endsWithConnection: boolean): boolean {
        return this.isStreaming && (this.splitter.partialBytes > 0 || (endsWithConnection && this.attemptEventAt === undefined));
    }

    /** ID of the last event that the caller has received. */
    get lastEventId(): string | undefined {
        return this.splitter.lastEventId ?? this.call.caller.lastEventId;
    }

    /** Keeps the latest attempt's answer, which is complete, for `restoreKept`. */
    keep(upstream: string): void {
        this.kept = this.head && !this.hasBegun ? { upstream, head: this.head, parts: this.parts } : undefined;
    }

    /** Makes the answer that was kept the latest one; returns its upstream if there was one. A stream that has begun since cannot be replaced. */
    restoreKept(): string | undefined {
        const { kept } = this;
        if (!kept || this.hasBegun) {
            return undefined;
        }
        this.reset();
        this.head = kept.head;
        this.parts = kept.parts;
        return kept.upstream;
    }

    /** Resets the state for another attempt. */
    reset(): void {
        this.head = undefined;
        this.parts = PartBuffer.create();
        this.isStreaming = false;
        this.attemptEventAt = undefined;
        this.splitter.dropPartialEvent();
        this.hold.release();
        this.hold.grow(this.kept?.parts.heldBytes ?? 0);
    }

    onHead(head: AnswerHead): void {
        this.head = head;
        this.firstByteAt ||= performance.now();
        this.lastProgressAt = performance.now();
        const { res } = this.call;
        const goesOn = !res.headersSent || mediaTypeOf(head.headers["content-type"]) === mediaTypeOf(res.getHeader("content-type"));
        this.isStreaming = this.call.route.kind === RouteKind.Streaming && isSuccess(head.status) && head.decoded.isSigned && goesOn;
        this.observer.onHead(head);
        if (this.isStreaming && !res.headersSent) {
            copyHeaders(res, head.headers, true);
            addReport(res, this.call.progress, undefined, 1);
            res.writeHead(head.status);
            res.flushHeaders();
        }
    }

    onData(chunk: Buffer, resume: () => void): SinkState {
        if (!this.isStreaming) {
            this.lastProgressAt = performance.now();
            const { heldBytes } = this.parts;
            this.parts.add(chunk);
            const isHeld = this.hold.grow(this.parts.heldBytes - heldBytes);
            return isHeld && this.parts.bytes <= this.limits.maxAnswerBytes ? SinkState.Ready : SinkState.TooLarge;
        }
        const { lastEventId } = this;
        const { heldBytes } = this.splitter;
        const events = this.splitter.push(chunk);
        if (events.length === 0) {
            // A few bytes of an event now and then are no progress.
            const isHeld = this.hold.grow(this.splitter.heldBytes - heldBytes);
            return isHeld && this.splitter.partialBytes <= this.limits.maxEventBytes ? SinkState.Ready : SinkState.TooLarge;
        }
        this.hold.release();
        this.hold.grow(this.splitter.heldBytes);
        const isResumption = lastEventId !== undefined && this.attemptEventAt === undefined;
        const text = events.toString("latin1");
        if (!goOnAfter(text, lastEventId, isResumption)) {
            this.splitter.lastEventId = lastEventId;
            return SinkState.OutOfOrder;
        }
        const now = performance.now();
        if (this.attemptEventAt !== undefined) {
            const gapMs = now - this.lastProgressAt;
            this.maxEventGapMs = Math.max(this.maxEventGapMs, gapMs);
            this.observer.onEventGap(gapMs);
        }
        if (this.attemptEventAt === undefined && holdEvent(text)) {
            this.onFirstEvent(now);
        }
        this.lastProgressAt = now;
        this.eventCount += countEvents(text);
        if (this.slowReaders) {
            return this.readOn(this.slowReaders, events);
        }
        if (this.call.res.write(events)) {
            return SinkState.Ready;
        }
        this.hold.countUntaken(this.call.res.writableLength);
        this.call.res.once("drain", () => {
            this.hold.countUntaken(0);
            resume();
        });
        return SinkState.Full;
    }

    /** Writes events without pausing the upstream; what the caller has not taken is counted. */
    private readOn(slowReaders: SlowReaders, events: Buffer): SinkState {
        const { res } = this.call;
        // A caller that keeps up is not counted; the close of one that was cut ends the attempt.
        const isBehind = res.writableLength + events.length >= res.writableHighWaterMark;
        if (res.destroyed || (isBehind && !slowReaders.admit(this.unread, events.length))) {
            return SinkState.Ready;
        }
        if (!res.write(events)) {
            slowReaders.count(this.unread, res.writableLength);
            this.onDrain ??= () => slowReaders.remove(this.unread);
            res.off("drain", this.onDrain).once("drain", this.onDrain);
        }
        return SinkState.Ready;
    }

    private onFirstEvent(now: number): void {
        this.attemptEventAt = now;
        if (this.firstEventAt === 0) {
            this.firstEventAt = now;
            this.observer.onFirstEvent();
        }
    }

    /** Completes the caller's answer after the upstream's answer has arrived in full. */
    complete(): void {
        const { res } = this.call;
        if (this.isStreaming) {
            res.end();
            return;
        }
        const head = this.head!;
        copyHeaders(res, head.headers, true);
        res.setHeader("content-length", this.parts.bytes);
        addReport(res, this.call.progress);
        res.writeHead(head.status);
        this.parts.blocks.forEach(block => res.write(block));
        res.end();
        this.parts = PartBuffer.create();
    }
}

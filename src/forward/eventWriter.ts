import type { ServerResponse } from "node:http";
import type { AnswerHold } from "../core/answerMemory";
import type { SlowReaders, UnreadStream } from "../core/slowReaders";
import { SinkState } from "./answerSink";

/** Writes events to a caller, and counts those that it has not taken. */
export class EventWriter {
    private readonly unread: UnreadStream;
    private onDrain: (() => void) | undefined;
    /** Resumes the upstream that is paused, as the caller has not taken all that was written. */
    private resumeUpstream: (() => void) | undefined;

    private constructor(
        private readonly res: ServerResponse,
        request: string,
        private readonly hold: AnswerHold,
        private readonly slowReaders: SlowReaders | undefined,
    ) {
        this.unread = { request, unreadBytes: () => res.writableLength, cut: () => res.destroy() };
    }

    /** Creates the writer of one response. With `slowReaders` the upstream is read on if the caller is slow, otherwise it is paused. */
    static create(res: ServerResponse, request: string, hold: AnswerHold, slowReaders: SlowReaders | undefined): EventWriter {
        return new EventWriter(res, request, hold, slowReaders);
    }

    /** Writes events; after `Full` the upstream is paused until `resume` is called. */
    write(events: Buffer, resume: () => void): SinkState {
        if (this.slowReaders) {
            return this.readOn(this.slowReaders, events);
        }
        if (this.res.write(events)) {
            return SinkState.Ready;
        }
        this.hold.countUntaken(this.res.writableLength);
        if (!this.resumeUpstream) {
            this.res.once("drain", () => this.onTaken());
        }
        this.resumeUpstream = resume;
        return SinkState.Full;
    }

    /** Gives back what was counted, as the response is closed. */
    close(): void {
        this.hold.countUntaken(0);
        this.slowReaders?.remove(this.unread);
    }

    private onTaken(): void {
        const resume = this.resumeUpstream;
        this.resumeUpstream = undefined;
        this.hold.countUntaken(0);
        resume?.();
    }

    /** Writes events without pausing the upstream; what the caller has not taken is counted. */
    private readOn(slowReaders: SlowReaders, events: Buffer): SinkState {
        const { res } = this;
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
}

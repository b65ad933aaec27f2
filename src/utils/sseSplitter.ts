const lineFeed = 0x0a;
const carriageReturn = 0x0d;

/** Cuts a stream of server-sent events into whole events; a half event is kept back until its end comes. */
export class SseSplitter {
    private rest: Buffer = Buffer.alloc(0);
    /** ID of the last whole event that had one. */
    lastEventId: string | undefined;

    private constructor() {}

    /** Makes a splitter at the start of a stream. */
    static create(): SseSplitter {
        return new SseSplitter();
    }

    /** Bytes of an event whose end has not come. */
    get partialEvent(): Buffer {
        return this.rest;
    }

    /** Drops a half event: the stream goes on elsewhere. */
    dropPartialEvent(): void {
        this.rest = Buffer.alloc(0);
    }

    /** Takes bytes and returns those up to the end of the last whole event. */
    push(chunk: Buffer): Buffer {
        const bytes = this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
        const end = lastEventEnd(bytes);
        const whole = bytes.subarray(0, end);
        this.rest = bytes.subarray(end);
        if (end > 0) {
            this.lastEventId = lastIdOf(whole.toString("latin1")) ?? this.lastEventId;
        }
        return whole;
    }
}

/** Offset after the last empty line, which ends an event. */
const lastEventEnd = (bytes: Buffer): number => {
    for (let at = bytes.length - 1; at > 0; at--) {
        if (bytes[at] === lineFeed && (bytes[at - 1] === lineFeed || (bytes[at - 1] === carriageReturn && bytes[at - 2] === lineFeed))) {
            return at + 1;
        }
    }
    return 0;
};

const lastIdOf = (events: string): string | undefined => {
    const at = Math.max(events.lastIndexOf("\nid:"), events.startsWith("id:") ? -1 : -2);
    return at < -1 ? undefined : events.slice(at + 4, events.indexOf("\n", at + 4)).trim();
};

const lineFeed = 0x0a;
const carriageReturn = 0x0d;

/** Splits a byte stream of server-sent events at event boundaries; an incomplete event is buffered until its end arrives. */
export class SseSplitter {
    private incomplete: Buffer = Buffer.alloc(0);
    /** ID of the last complete event that had one. */
    lastEventId: string | undefined;

    private constructor() {}

    /** Creates a splitter at the start of a stream. */
    static create(): SseSplitter {
        return new SseSplitter();
    }

    /** Buffered bytes of an incomplete event. */
    get partialEvent(): Buffer {
        return this.incomplete;
    }

    /** Discards an incomplete event, since the stream is resumed with another attempt. */
    dropPartialEvent(): void {
        this.incomplete = Buffer.alloc(0);
    }

    /** Adds bytes and returns those up to the end of the last complete event. */
    push(chunk: Buffer): Buffer {
        const bytes = this.incomplete.length === 0 ? chunk : Buffer.concat([this.incomplete, chunk]);
        const end = lastEventEnd(bytes);
        const complete = bytes.subarray(0, end);
        this.incomplete = bytes.subarray(end);
        if (end > 0) {
            this.lastEventId = lastIdOf(complete.toString("latin1")) ?? this.lastEventId;
        }
        return complete;
    }
}

/** Offset after the last empty line, which terminates an event. */
const lastEventEnd = (bytes: Buffer): number => {
    for (let index = bytes.length - 1; index > 0; index--) {
        if (bytes[index] === lineFeed && (bytes[index - 1] === lineFeed || (bytes[index - 1] === carriageReturn && bytes[index - 2] === lineFeed))) {
            return index + 1;
        }
    }
    return 0;
};

const lastIdOf = (events: string): string | undefined => {
    const lineStart = events.lastIndexOf("\nid:");
    const valueStart = lineStart >= 0 ? lineStart + 4 : events.startsWith("id:") ? 3 : undefined;
    return valueStart === undefined ? undefined : events.slice(valueStart, events.indexOf("\n", valueStart)).trim();
};

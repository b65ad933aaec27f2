import { PartBuffer } from "./partBuffer";

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
/** Bytes before a line feed that show whether it ends an empty line. */
const tailBytes = 2;

/** Number of events that end in a text: each ends with an empty line. */
export const countEvents = (text: string): number => text.match(/\n\r?\n/g)?.length ?? 0;

const noBytes: Buffer = Buffer.alloc(0);

/** A copy, as a view would keep all bytes. */
const lastBytesOf = (bytes: Buffer): Buffer => Buffer.from(bytes.subarray(Math.max(0, bytes.length - tailBytes)));

/** Splits a byte stream of server-sent events at event boundaries; an incomplete event is buffered until its end arrives. */
export class SseSplitter {
    /** Parts of the incomplete event, and its last bytes: an empty line may be split between two chunks. */
    private parts = PartBuffer.create();
    private tail: Buffer = noBytes;
    /** ID of the last complete event that had one. */
    lastEventId: string | undefined;

    private constructor() {}

    /** Creates a splitter at the start of a stream. */
    static create(): SseSplitter {
        return new SseSplitter();
    }

    /** Buffered bytes of an incomplete event. */
    get partialBytes(): number {
        return this.parts.bytes;
    }

    /** Bytes of memory that they take. */
    get heldBytes(): number {
        return this.parts.heldBytes;
    }

    /** Discards an incomplete event, since the stream is resumed with another attempt. */
    dropPartialEvent(): void {
        this.parts = PartBuffer.create();
        this.tail = noBytes;
    }

    /** Adds bytes and returns those up to the end of the last complete event. */
    push(chunk: Buffer): Buffer {
        const joined = this.tail.length === 0 ? chunk : Buffer.concat([this.tail, chunk]);
        const end = lastEventEnd(joined) - this.tail.length;
        if (end <= 0) {
            this.keep(chunk, lastBytesOf(joined));
            return noBytes;
        }
        const complete = Buffer.concat([...this.parts.blocks, chunk.subarray(0, end)]);
        this.dropPartialEvent();
        if (end < chunk.length) {
            this.keep(chunk.subarray(end), lastBytesOf(chunk.subarray(end)));
        }
        this.lastEventId = lastIdOf(complete.toString("latin1")) ?? this.lastEventId;
        return complete;
    }

    private keep(part: Buffer, tail: Buffer): void {
        this.parts.add(part);
        this.tail = tail;
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

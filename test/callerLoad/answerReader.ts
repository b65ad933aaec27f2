const headEnd = "\r\n\r\n";

/** An answer as far as it has arrived. */
export interface ArrivedAnswer {
    readonly status: number;
    readonly body: Buffer;
    readonly isWhole: boolean;
    /** Whether the answer says that it ends its connection. */
    readonly endsConnection: boolean;
}

const unchunk = (bytes: Buffer): { readonly body: Buffer; readonly isWhole: boolean; } => {
    const parts: Buffer[] = [];
    let from = 0;
    for (;;) {
        const end = bytes.indexOf("\r\n", from);
        const size = end < 0 ? Number.NaN : parseInt(bytes.subarray(from, end).toString("latin1"), 16);
        if (Number.isNaN(size) || bytes.length < end + 2 + size + 2) {
            return { body: Buffer.concat(parts), isWhole: false };
        }
        if (size === 0) {
            return { body: Buffer.concat(parts), isWhole: true };
        }
        parts.push(bytes.subarray(end + 2, end + 2 + size));
        from = end + 2 + size + 2;
    }
};

const lastChunk = Buffer.from("0\r\n\r\n");

/** Collects one answer from the bytes of a connection. */
export class AnswerReader {
    private chunks: Buffer[] = [];
    private size = 0;
    /** Size from which an answer with a length is whole; undefined for chunks or before the end of the head. */
    private wholeSize: number | undefined;
    private hasHead = false;

    private constructor() {}

    static create(): AnswerReader {
        return new AnswerReader();
    }

    get isEmpty(): boolean {
        return this.size === 0;
    }

    /** Adds bytes; returns the answer once it is whole. */
    push(chunk: Buffer): ArrivedAnswer | undefined {
        this.chunks.push(chunk);
        this.size += chunk.length;
        if (!this.hasHead) {
            this.readHead();
        }
        const mayBeWhole = this.wholeSize === undefined
            ? chunk.length < lastChunk.length || chunk.subarray(-lastChunk.length).equals(lastChunk)
            : this.size >= this.wholeSize;
        const answer = this.hasHead && mayBeWhole ? this.read() : undefined;
        return answer?.isWhole ? answer : undefined;
    }

    /** The answer as far as it has arrived; undefined before the end of its head. */
    read(): ArrivedAnswer | undefined {
        const bytes = Buffer.concat(this.chunks);
        this.chunks = [bytes];
        const end = bytes.indexOf(headEnd);
        if (end < 0) {
            return undefined;
        }
        const head = bytes.subarray(0, end).toString("latin1");
        const rest = bytes.subarray(end + headEnd.length);
        const framed = this.wholeSize === undefined ? unchunk(rest) : { body: rest, isWhole: bytes.length >= this.wholeSize };
        return { status: Number(head.slice("HTTP/1.1 ".length, "HTTP/1.1 200".length)), ...framed, endsConnection: /^connection: close/im.test(head) };
    }

    private readHead(): void {
        const bytes = Buffer.concat(this.chunks);
        this.chunks = [bytes];
        const end = bytes.indexOf(headEnd);
        if (end >= 0) {
            this.hasHead = true;
            const length = /^content-length: (\d+)/im.exec(bytes.subarray(0, end).toString("latin1"))?.[1];
            this.wholeSize = length === undefined ? undefined : end + headEnd.length + Number(length);
        }
    }
}

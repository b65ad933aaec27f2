/** Chunks of at least this size are passed on as they are. */
const minSeparateBytes = 1_024;

/** What the parser reads at once. Only one connection is parsed at a time, so one buffer serves all. */
const joined = Buffer.allocUnsafeSlow(65_536);
/** The joiner whose chunks are in the buffer. */
const current: { owner?: ChunkJoiner; } = {};

/**
 * Joins the small chunks of a body that one read of its connection gave. The parser makes a buffer of each, and a body that is not read yet would keep them all:
 * several hundred bytes of memory for one of the body.
 */
export class ChunkJoiner {
    private filledBytes = 0;
    /** The only chunk so far. */
    private first: Buffer | undefined;

    private constructor(private readonly pass: (bytes: Buffer) => unknown) {}

    /** Creates the joiner of one connection; `pass` takes what was joined. */
    static create(pass: (bytes: Buffer) => unknown): ChunkJoiner {
        return new ChunkJoiner(pass);
    }

    /** Takes the next chunk. */
    add(chunk: Buffer): void {
        if (chunk.length >= minSeparateBytes) {
            this.flush();
            this.pass(chunk);
            return;
        }
        if (current.owner !== this || this.filledBytes + chunk.length > joined.length) {
            current.owner?.flush();
            current.owner = this;
        }
        this.first = this.filledBytes === 0 ? chunk : undefined;
        this.filledBytes += chunk.copy(joined, this.filledBytes);
    }

    /** Passes on what was joined; to be called at the end of a body, and of a read. */
    flush(): void {
        if (current.owner === this) {
            const bytes = this.first ?? Buffer.from(joined.subarray(0, this.filledBytes));
            this.drop();
            this.pass(bytes);
        }
    }

    /** Forgets what was joined, as its connection is closed. */
    drop(): void {
        if (current.owner === this) {
            current.owner = undefined;
        }
        this.first = undefined;
        this.filledBytes = 0;
    }
}

/** Part of the memory for answers that one request holds. */
export interface AnswerHold {
    /** Counts more bytes; false if the memory is short and this request holds more than its share, so that its answer must be given up. */
    grow(bytes: number): boolean;
    /** Gives all bytes back. */
    release(): void;
}

/**
 * Memory for parts of answers that are kept until they are complete, shared by all requests of the process. While it is short, an answer that holds more than an equal
 * share is given up as soon as it grows: a few endless answers do not cost sound ones, and all together hold at most twice the limit.
 */
export class AnswerMemory {
    private usedBytes = 0;
    /** Requests that hold some bytes. */
    private holders = 0;

    private constructor(private readonly maxBytes: () => number) {}

    static create(maxBytes: () => number): AnswerMemory {
        return new AnswerMemory(maxBytes);
    }

    /** Bytes that all answers hold together. */
    get used(): number {
        return this.usedBytes;
    }

    /** Opens the hold of one request, which is empty. */
    open(): AnswerHold {
        let ownBytes = 0;
        return {
            grow: bytes => {
                this.holders += ownBytes === 0 && bytes > 0 ? 1 : 0;
                ownBytes += bytes;
                this.usedBytes += bytes;
                return this.usedBytes <= this.maxBytes() || ownBytes <= this.maxBytes() / this.holders;
            },
            release: () => {
                this.holders -= ownBytes > 0 ? 1 : 0;
                this.usedBytes -= ownBytes;
                ownBytes = 0;
            },
        };
    }
}

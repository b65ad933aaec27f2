import { MemoryHolder } from "../types/memoryHolder";

/** Part of the memory for answers that one request holds. */
export interface AnswerHold {
    /** Counts more bytes; false if the memory is short and this request holds more than its share, so that its answer must be given up. */
    grow(bytes: number): boolean;
    /** Counts the bytes of a stream that its caller has not taken yet, in place of those counted before; its upstream is paused meanwhile. */
    countUntaken(bytes: number): void;
    /** Gives back all bytes but those that were not taken. */
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

    private constructor(private readonly maxBytes: () => number, private readonly charge: (holder: MemoryHolder, bytes: number) => void) {}

    /** Creates a memory of at most the given bytes, which also counts what it holds in that of the process. */
    static create(maxBytes: () => number, charge: (holder: MemoryHolder, bytes: number) => void): AnswerMemory {
        return new AnswerMemory(maxBytes, charge);
    }

    /** Bytes that all answers hold together. */
    get used(): number {
        return this.usedBytes;
    }

    /** Opens the hold of one request, which is empty. */
    open(): AnswerHold {
        let ownBytes = 0;
        let untakenBytes = 0;
        return {
            grow: bytes => {
                this.holders += ownBytes === 0 && bytes > 0 ? 1 : 0;
                ownBytes += bytes;
                this.usedBytes += bytes;
                this.charge(MemoryHolder.Answers, bytes);
                return this.usedBytes <= this.maxBytes() || ownBytes <= this.maxBytes() / this.holders;
            },
            countUntaken: bytes => {
                this.charge(MemoryHolder.UntakenEvents, bytes - untakenBytes);
                untakenBytes = bytes;
            },
            release: () => {
                this.holders -= ownBytes > 0 ? 1 : 0;
                this.usedBytes -= ownBytes;
                this.charge(MemoryHolder.Answers, -ownBytes);
                ownBytes = 0;
            },
        };
    }
}

/** First buffer of a body of unknown size; it doubles as it is filled. */
const firstBytes = 1_024;

/**
 * The first part of a body of unknown size, copied together. A buffer for each chunk would hold some 100 bytes of the heap, and what was read with it: bodies in
 * chunks of one byte filled the heap.
 */
export class BodyStart {
    private buffer = Buffer.allocUnsafeSlow(firstBytes);
    private filledBytes = 0;

    private constructor(private readonly maxBytes: number) {}

    /** Creates an empty part that is full beyond a number of bytes. */
    static create(maxBytes: number): BodyStart {
        return new BodyStart(maxBytes);
    }

    /** Copies a chunk, also one that goes beyond the maximum; false if it does. */
    take(chunk: Buffer): boolean {
        const neededBytes = this.filledBytes + chunk.length;
        if (neededBytes > this.buffer.length) {
            const larger = Buffer.allocUnsafeSlow(Math.max(neededBytes, 2 * this.buffer.length));
            this.buffer.copy(larger, 0, 0, this.filledBytes);
            this.buffer = larger;
        }
        chunk.copy(this.buffer, this.filledBytes);
        this.filledBytes = neededBytes;
        return neededBytes <= this.maxBytes;
    }

    get length(): number {
        return this.filledBytes;
    }

    /** What was taken so far. */
    get bytes(): Buffer {
        return this.buffer.subarray(0, this.filledBytes);
    }
}

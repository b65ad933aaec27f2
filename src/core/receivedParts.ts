/** Parts in which parsers delivered the bodies of answers, whatever is made of them, since the start of the process. */
export class ReceivedParts {
    private partCount = 0;
    private byteCount = 0;

    private constructor() {}

    static create(): ReceivedParts {
        return new ReceivedParts();
    }

    /** Number of parts. */
    get parts(): number {
        return this.partCount;
    }

    /** Bytes of all parts, without what frames them. */
    get bytes(): number {
        return this.byteCount;
    }

    /** Counts one part. */
    count(bytes: number): void {
        this.partCount++;
        this.byteCount += bytes;
    }
}

/** Size of the first block, and of the largest. */
const firstBlockBytes = 512;
const maxBlockBytes = 65_536;

/**
 * Keeps the parts of a body in few blocks of memory. A part is a view of what was read with it, so keeping the part would keep all of that, and each view takes
 * memory of its own: for a body in parts of one byte, a hundred times the body.
 */
export class PartBuffer {
    private readonly full: Buffer[] = [];
    private block: Buffer | undefined;
    private filledBytes = 0;
    private partBytes = 0;
    private blockBytes = 0;

    private constructor() {}

    static create(): PartBuffer {
        return new PartBuffer();
    }

    /** Bytes of all parts. */
    get bytes(): number {
        return this.partBytes;
    }

    /** Bytes of memory that the parts take. */
    get heldBytes(): number {
        return this.blockBytes;
    }

    /** The parts, joined into as many blocks as they take. */
    get blocks(): readonly Buffer[] {
        return this.block ? [...this.full, this.block.subarray(0, this.filledBytes)] : this.full;
    }

    /** Adds a part, which may be a view of memory that is used again. */
    add(part: Buffer): void {
        this.partBytes += part.length;
        let from = 0;
        while (from < part.length) {
            this.block ??= this.allocate(part.length - from);
            const copied = part.copy(this.block, this.filledBytes, from);
            from += copied;
            this.filledBytes += copied;
            if (this.filledBytes === this.block.length) {
                this.full.push(this.block);
                this.block = undefined;
                this.filledBytes = 0;
            }
        }
    }

    private allocate(neededBytes: number): Buffer {
        const size = Math.min(maxBlockBytes, Math.max(firstBlockBytes, neededBytes, this.blockBytes));
        this.blockBytes += size;
        return Buffer.allocUnsafeSlow(size);
    }

    /** All parts as one buffer. */
    join(): Buffer {
        const [only, ...others] = this.blocks;
        return only && others.length === 0 ? only : Buffer.concat(this.blocks);
    }
}

/** An array buffer whose pages are mapped on their own; the library of the compiler's target does not declare it. */
interface ResizableArrayBuffer extends ArrayBuffer {
    resize(bytes: number): void;
}

const mapMemory = (bytes: number): ResizableArrayBuffer => {
    const constructor = ArrayBuffer as unknown as new(bytes: number, options: { readonly maxByteLength: number; }) => ResizableArrayBuffer;
    return new constructor(bytes, { maxByteLength: bytes });
};

/**
 * Memory outside of the allocator's heap. What is given back returns to the system at once: neither a later collection nor other allocations beside it keep it
 * resident. Pages that were not written yet take no memory.
 */
export class MappedBuffer {
    private view: Buffer;

    private constructor(private readonly memory: ResizableArrayBuffer) {
        this.view = Buffer.from(memory, 0, memory.byteLength);
    }

    static create(bytes: number): MappedBuffer {
        return new MappedBuffer(mapMemory(bytes));
    }

    get bytes(): Buffer {
        return this.view;
    }

    /** Gives back all but the first bytes; views of what is given back become empty. Nothing outside of JavaScript may still use them. */
    shrinkTo(bytes: number): void {
        if (bytes < this.memory.byteLength) {
            this.memory.resize(bytes);
            this.view = Buffer.from(this.memory, 0, bytes);
        }
    }
}

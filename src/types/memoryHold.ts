/** Part of a common memory that one answer holds. */
export interface MemoryHold {
    /** Counts more bytes; false if the memory is short and the answer must be given up. */
    grow(bytes: number): boolean;
    /** Counts that the answer was given up for its size. */
    giveUp(): void;
    /** Gives back all bytes. */
    release(): void;
}

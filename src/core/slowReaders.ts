import { EventId } from "../types/eventId";
import { MemoryHolder } from "../types/memoryHolder";
import { emit } from "../utils/events";
import type { MemoryBudget } from "./memoryBudget";

/** A stream of which its caller has not taken all that has been written. */
export interface UnreadStream {
    readonly request: string;
    /** Bytes that the caller has not taken now. */
    readonly unreadBytes: () => number;
    /** Ends the stream and the request. */
    readonly cut: () => void;
}

/** Memory of the process, as far as it concerns unread events. */
export type UnreadMemory = Pick<MemoryBudget, "untakenLimitBytes" | "charge">;

interface Tracked {
    bytes: number;
    readonly since: number;
}

/**
 * Events that slow readers have not taken, of all streams of the process. Runners are read on, as one that is not read ends its answer; when the memory for this is full, the
 * stream that holds the most is cut.
 */
export class SlowReaders {
    /** Streams that were cut, since the start. */
    cutCount = 0;
    private readonly streams = new Map<UnreadStream, Tracked>();
    private totalBytes = 0;

    private constructor(private readonly memory: UnreadMemory) {}

    /** Creates the account of a process without slow readers; what it counts is charged to the memory. */
    static create(memory: UnreadMemory): SlowReaders {
        return new SlowReaders(memory);
    }

    /** Bytes that are counted for all streams. */
    get usedBytes(): number {
        return this.totalBytes;
    }

    /** Number of streams with a reader that is behind. */
    get size(): number {
        return this.streams.size;
    }

    /** Makes room for more bytes of a stream before they are written, by cutting those that hold the most; false if that is this one. */
    admit(stream: UnreadStream, bytes: number): boolean {
        const limitBytes = this.memory.untakenLimitBytes;
        if (this.totalBytes + bytes <= limitBytes) {
            return true;
        }
        [...this.streams.keys()].forEach(other => this.count(other, other.unreadBytes()));
        while (this.totalBytes + bytes > this.memory.untakenLimitBytes) {
            const largest = this.largestOf(stream, bytes);
            const tracked = this.streams.get(largest);
            this.cutCount++;
            emit(EventId.SlowReaderCut, {
                request: largest.request,
                bytes: (tracked?.bytes ?? 0) + (largest === stream ? bytes : 0),
                totalBytes: this.totalBytes + bytes,
                limitBytes: Math.round(limitBytes),
                streams: this.streams.size,
                unreadForMs: tracked ? Math.round(performance.now() - tracked.since) : 0,
            });
            this.remove(largest);
            largest.cut();
            if (largest === stream) {
                return false;
            }
        }
        return true;
    }

    /** Counts what a stream holds now; none ends its count. */
    count(stream: UnreadStream, bytes: number): void {
        const tracked = this.streams.get(stream);
        if (bytes <= 0) {
            this.remove(stream);
            return;
        }
        this.add(bytes - (tracked?.bytes ?? 0));
        if (tracked) {
            tracked.bytes = bytes;
        }
        else {
            this.streams.set(stream, { bytes, since: performance.now() });
        }
    }

    /** Ends the count of a stream. */
    remove(stream: UnreadStream): void {
        this.add(-(this.streams.get(stream)?.bytes ?? 0));
        this.streams.delete(stream);
    }

    private largestOf(stream: UnreadStream, bytes: number): UnreadStream {
        let largest = stream;
        let mostBytes = (this.streams.get(stream)?.bytes ?? 0) + bytes;
        for (const [other, tracked] of this.streams) {
            if (other !== stream && tracked.bytes > mostBytes) {
                largest = other;
                mostBytes = tracked.bytes;
            }
        }
        return largest;
    }

    private add(bytes: number): void {
        this.totalBytes += bytes;
        this.memory.charge(MemoryHolder.UntakenEvents, bytes);
    }
}

import { headerHeapBytes } from "./requestHeap";

/** Share of the heap's limit that heads may hold that have not been read to their end; as much may lie outside the heap. */
const headShare = 0.15;

/** Dependencies of a budget. */
export interface UnfinishedHeadsOptions {
    /** Size of the heap at which the runtime ends the process. */
    readonly heapLimitBytes: () => number;
}

/** What all connections together hold of heads that have not been read to their end. */
export class UnfinishedHeads<T> {
    /** Bytes by connection, in the order in which the heads began. */
    private readonly held = new Map<T, number>();
    /** Bytes of connections that were given up: their memory is released only once they are closed. */
    private readonly closing = new Map<T, number>();
    private used = 0;
    private usedByClosing = 0;
    /** Heads that were given up so far, for want of room. */
    givenUp = 0;

    private constructor(private readonly options: UnfinishedHeadsOptions) {}

    static create<T>(options: UnfinishedHeadsOptions): UnfinishedHeads<T> {
        return new UnfinishedHeads<T>(options);
    }

    get usedBytes(): number {
        return this.used;
    }

    get limitBytes(): number {
        return headShare * this.options.heapLimitBytes();
    }

    /** Number of connections that hold such a head. */
    get count(): number {
        return this.held.size;
    }

    /** Whether connections that are about to be closed hold as much as all others may: nothing more should be read until they are. */
    get isAwaitingCloses(): boolean {
        return this.usedByClosing > this.limitBytes;
    }

    /**
     * Sets what a connection holds. Returns the connections to close, for which there is no room any more. Those on which `isBusy` knows of unanswered requests are
     * closed last.
     */
    hold(connection: T, textBytes: number, headers: number, isBusy: (connection: T) => boolean = () => false): readonly T[] {
        const bytes = textBytes + headers * headerHeapBytes;
        if (bytes === 0) {
            this.release(connection);
            return [];
        }
        this.used += bytes - (this.held.get(connection) ?? 0);
        this.held.set(connection, bytes);
        const closed: T[] = [];
        while (this.used > this.limitBytes) {
            const dispensable = this.findDispensable(isBusy);
            if (dispensable === undefined) {
                break;
            }
            this.giveUp(dispensable);
            closed.push(dispensable);
        }
        this.givenUp += closed.length;
        return closed;
    }

    /** The head of a connection has been read to its end, or the connection has been closed. */
    release(connection: T): void {
        this.used -= this.held.get(connection) ?? 0;
        this.held.delete(connection);
        this.usedByClosing -= this.closing.get(connection) ?? 0;
        this.closing.delete(connection);
    }

    private giveUp(connection: T): void {
        const bytes = this.held.get(connection) ?? 0;
        this.release(connection);
        this.closing.set(connection, bytes);
        this.usedByClosing += bytes;
    }

    /** The oldest head that is no smaller than the mean: a large one that has just begun may still end, and small ones make no room. */
    private findDispensable(isBusy: (connection: T) => boolean): T | undefined {
        const meanBytes = this.used / this.held.size;
        let oldestBusy: T | undefined;
        for (const [connection, bytes] of this.held) {
            if (bytes < meanBytes) {
                continue;
            }
            if (!isBusy(connection)) {
                return connection;
            }
            oldestBusy ??= connection;
        }
        return oldestBusy;
    }
}

import type { Socket } from "node:net";
import { Readable } from "node:stream";

/** Time in a turn of the event loop that what one connection delivers may take, and what the connections that wait may take together. */
const maxConnectionMs = 1;
const maxWaitingMs = 4;
/** Bounds of what a connection delivers at once, and when they change: what is done with a byte may take a thousand times as long as with another. */
const minReadBytes = 1_024;
const firstReadBytes = 4_096;
const maxReadBytes = 16_384;
const longReadMs = 0.5;
const shortReadMs = 0.1;

/** What `read` returns if there is nothing to read. */
const nothing: unknown = new Readable({ read: () => undefined }).read();

/** One connection whose reading is paced. */
class PacedConnection {
    private turn = -1;
    private spentMs = 0;
    /** When the latest bytes were delivered, while it is not known how long that took. */
    private deliveredAt: number | undefined;
    private readBytes = firstReadBytes;
    private isWaiting = false;
    private readonly readNow: Socket["read"];

    constructor(private readonly pacer: ReadPacer, private readonly socket: Socket) {
        this.readNow = socket.read.bind(socket);
    }

    /** Reads, unless this connection has taken its time of the turn: then `readable` is emitted in a later one. */
    read(): unknown {
        if (this.isWaiting) {
            return nothing;
        }
        this.measure();
        if (this.spentMs >= maxConnectionMs) {
            this.isWaiting = true;
            this.pacer.wait(this);
            return nothing;
        }
        const { readableLength } = this.socket;
        this.deliveredAt = readableLength > 0 ? performance.now() : undefined;
        return readableLength > this.readBytes ? this.readNow(this.readBytes) : this.readNow();
    }

    /** Goes on reading in a later turn. */
    resume(): void {
        this.isWaiting = false;
        if (!this.socket.destroyed) {
            this.socket.emit("readable");
        }
    }

    private measure(): void {
        const turn = this.pacer.currentTurn();
        if (turn !== this.turn) {
            this.turn = turn;
            this.spentMs = 0;
        }
        else if (this.deliveredAt !== undefined) {
            const tookMs = performance.now() - this.deliveredAt;
            this.spentMs += tookMs;
            if (tookMs > longReadMs) {
                this.readBytes = Math.max(minReadBytes, this.readBytes / 2);
            }
            else if (tookMs < shortReadMs) {
                this.readBytes = Math.min(maxReadBytes, this.readBytes * 2);
            }
        }
        this.deliveredAt = undefined;
    }
}

/**
 * Bounds the time that what arrives over the connections to other processes takes in one turn of the event loop, whatever it consists of: bytes, chunks, headers or
 * events. What is left of a connection waits for a later turn, in order of arrival.
 */
export class ReadPacer {
    private turn = 0;
    private isScheduled = false;
    private readonly waiting: PacedConnection[] = [];
    private pauseCount = 0;

    private constructor() {}

    static create(): ReadPacer {
        return new ReadPacer();
    }

    /** How often a connection had to wait for a later turn, since the start. */
    get pauses(): number {
        return this.pauseCount;
    }

    /** Paces a connection whose reader calls `read` without a size until it returns null, after each `readable`. */
    pace(socket: Socket): void {
        const connection = new PacedConnection(this, socket);
        const readNow = socket.read.bind(socket);
        socket.read = size => size === undefined ? connection.read() : readNow(size);
    }

    /** Number of the present turn. */
    currentTurn(): number {
        this.schedule();
        return this.turn;
    }

    /** Resumes a connection in a later turn. */
    wait(connection: PacedConnection): void {
        this.pauseCount++;
        this.waiting.push(connection);
        this.schedule();
    }

    private schedule(): void {
        if (!this.isScheduled) {
            this.isScheduled = true;
            setImmediate(() => this.beginTurn());
        }
    }

    private beginTurn(): void {
        this.isScheduled = false;
        this.turn++;
        const endAt = performance.now() + maxWaitingMs;
        for (let count = this.waiting.length; count > 0 && performance.now() < endAt; count--) {
            this.waiting.shift()!.resume();
        }
        if (this.waiting.length > 0) {
            this.schedule();
        }
    }
}

/** The pacer of this process: all its connections share one event loop. */
export const readPacer = ReadPacer.create();

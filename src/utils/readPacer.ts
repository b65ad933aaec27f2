import type { Socket } from "node:net";
import { Readable } from "node:stream";
import { isSystemError } from "./transport";

/** Time in a turn of the event loop that what one connection delivers may take, and what all connections deliver together. */
const maxConnectionMs = 1;
const maxTurnMs = 4;
/** Time delivered from which the next turn is awaited: each wait takes a pass of the event loop. */
const minCountedMs = 0.2;
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
    private isHeld = false;
    private isFailing = false;
    private readonly readNow: Socket["read"];

    constructor(private readonly pacer: ReadPacer, private readonly socket: Socket) {
        this.readNow = socket.read.bind(socket);
    }

    /** Reads, unless this connection has taken its time of the turn, or all together theirs: then `readable` is emitted in a later one. */
    read(): unknown {
        if (this.isFailing) {
            return this.readNow();
        }
        if (this.isWaiting || this.isHeld) {
            return nothing;
        }
        const { readableLength } = this.socket;
        this.measure();
        // Nothing to deliver takes no time, and an end is noticed only by reading.
        if ((this.spentMs >= maxConnectionMs || this.pacer.isTurnFull) && readableLength > 0) {
            this.isWaiting = true;
            this.pacer.wait(this);
            return nothing;
        }
        this.deliveredAt = readableLength > 0 ? performance.now() : undefined;
        return readableLength > this.readBytes ? this.readNow(this.readBytes) : this.readNow();
    }

    /** Reads nothing until `release`. */
    hold(): void {
        this.isHeld = true;
    }

    /** Reads on in a later turn: the client may be parsing now. */
    release(): void {
        if (this.isHeld && !this.isWaiting) {
            this.isWaiting = true;
            this.pacer.enqueue(this);
        }
        this.isHeld = false;
    }

    /** Goes on reading in a later turn. */
    resume(): void {
        this.isWaiting = false;
        if (!this.socket.destroyed) {
            this.socket.emit("readable");
        }
    }

    /** Delivers what arrived before an error: the stream forgets it when it is destroyed, and it may hold the end of an answer. Its size is bounded by the stream's buffer. */
    deliverRest(): void {
        if ((this.isWaiting || this.isHeld) && !this.isFailing && !this.socket.destroyed) {
            this.isFailing = true;
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
            this.pacer.count(tookMs);
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
    private turnMs = 0;
    private isScheduled = false;
    private readonly waiting: PacedConnection[] = [];
    private readonly connections = new WeakMap<Socket, PacedConnection>();
    private pauseCount = 0;

    private constructor() {}

    static create(): ReadPacer {
        return new ReadPacer();
    }

    /** How often a connection had to wait for a later turn, since the start. */
    get pauses(): number {
        return this.pauseCount;
    }

    /** Whether what was delivered in the present turn has taken the time for all connections. */
    get isTurnFull(): boolean {
        return this.turnMs >= maxTurnMs;
    }

    /** Counts time that a delivery has taken in the present turn. */
    count(ms: number): void {
        this.turnMs += ms;
        if (this.turnMs >= minCountedMs) {
            this.schedule();
        }
    }

    /** Paces a connection whose reader calls `read` without a size until it returns null, after each `readable`. */
    pace(socket: Socket): void {
        const connection = new PacedConnection(this, socket);
        this.connections.set(socket, connection);
        const readNow = socket.read.bind(socket);
        const destroy = socket.destroy.bind(socket);
        socket.destroy = err => {
            if (isSystemError(err)) {
                connection.deliverRest();
            }
            return destroy(err);
        };
        socket.read = size => size === undefined ? connection.read() : readNow(size);
    }

    /** Delivers nothing more of a connection until `release`. Unlike a pause of the client, it does not fail if the connection ends meanwhile. */
    hold(socket: Socket): void {
        this.connections.get(socket)?.hold();
    }

    /** Delivers what arrives over a connection again. */
    release(socket: Socket): void {
        this.connections.get(socket)?.release();
    }

    /** Number of the present turn; turns in which little was delivered count as one. */
    currentTurn(): number {
        return this.turn;
    }

    /** Resumes a connection in a later turn. */
    wait(connection: PacedConnection): void {
        this.pauseCount++;
        this.enqueue(connection);
    }

    /** Has a connection read in a later turn. */
    enqueue(connection: PacedConnection): void {
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
        this.turnMs = 0;
        const endAt = performance.now() + maxTurnMs;
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

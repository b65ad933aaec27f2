import type { Socket } from "node:net";

/** Time in a turn of the event loop that the reads of one connection may take, and that reads of at least this length may take together. */
const maxConnectionMs = 1;
const maxLongReadsMs = 4;
/** Time from which the next turn is awaited: each wait takes a pass of the event loop. */
const minCountedMs = 0.2;

/** One connection whose parsing is paced. */
interface PacedConnection {
    readonly socket: Socket;
    /** The latest turn in which it was read, and the time that its reads took in that turn. */
    turn: number;
    spentMs: number;
    /** Whether it is not read before a later turn. */
    isWaiting: boolean;
    /** Whether its reading is paused for this reason alone. */
    isPaused: boolean;
}

/**
 * Bounds the time that parsing what callers send takes in one turn of the event loop, whatever it consists of: chunks of one byte take a thousand times as long as
 * their bytes in one chunk. A read cannot be interrupted, so all connections that have not been read wait for a later turn after a long one.
 */
export class ParsePacer {
    private turn = 0;
    private turnMs = 0;
    private longReadsMs = 0;
    private isScheduled = false;
    private readonly connections = new Map<Socket, PacedConnection>();
    /** Connections that wait, in order of their last read. */
    private waiting: PacedConnection[] = [];

    private constructor() {}

    static create(): ParsePacer {
        return new ParsePacer();
    }

    /** Paces a connection that a server has just accepted. */
    open(socket: Socket): void {
        const connection: PacedConnection = { socket, turn: -1, spentMs: 0, isWaiting: false, isPaused: false };
        this.connections.set(socket, connection);
        // The runtime resumes connections whose bodies are read.
        socket.on("resume", () => connection.isWaiting && this.pause(connection));
        socket.once("close", () => this.connections.delete(socket));
    }

    /** A read of a connection has been parsed, which took some time. */
    count(socket: Socket, tookMs: number): void {
        const connection = this.connections.get(socket);
        if (!connection) {
            return;
        }
        this.turnMs += tookMs;
        if (this.turnMs >= minCountedMs) {
            this.schedule();
        }
        if (connection.turn !== this.turn) {
            connection.turn = this.turn;
            connection.spentMs = 0;
        }
        connection.spentMs += tookMs;
        if (connection.spentMs < maxConnectionMs) {
            return;
        }
        this.wait(connection);
        if (tookMs >= maxConnectionMs) {
            this.longReadsMs += tookMs;
        }
        if (this.longReadsMs >= maxLongReadsMs) {
            this.longReadsMs = 0;
            this.connections.forEach(other => other.turn !== this.turn && this.wait(other));
        }
    }

    private wait(connection: PacedConnection): void {
        if (!connection.isWaiting && !connection.socket.destroyed) {
            connection.isWaiting = true;
            this.waiting.push(connection);
            if (!connection.socket.isPaused()) {
                this.pause(connection);
            }
        }
    }

    private pause(connection: PacedConnection): void {
        connection.isPaused = true;
        connection.socket.pause();
    }

    private schedule(): void {
        if (!this.isScheduled) {
            this.isScheduled = true;
            setImmediate(() => this.beginTurn());
        }
    }

    /** Resumes connections whose last reads were short, and then as many others as a turn has time for: connections are read in the order in which they are resumed. */
    private beginTurn(): void {
        this.isScheduled = false;
        this.turn++;
        this.turnMs = 0;
        this.longReadsMs = 0;
        const isShort = ({ spentMs }: PacedConnection): boolean => spentMs < maxConnectionMs;
        const long = this.waiting.filter(connection => !isShort(connection));
        this.waiting.filter(isShort).forEach(connection => this.resume(connection));
        let expectedMs = 0;
        while (long.length > 0 && expectedMs < maxLongReadsMs) {
            const next = long.shift()!;
            expectedMs += next.spentMs;
            this.resume(next);
        }
        this.waiting = long;
        if (long.length > 0) {
            this.schedule();
        }
    }

    private resume(connection: PacedConnection): void {
        connection.isWaiting = false;
        if (connection.isPaused) {
            connection.isPaused = false;
            if (!connection.socket.destroyed) {
                connection.socket.resume();
            }
        }
    }
}

/** The pacer of this process: all its servers share one event loop. */
export const parsePacer = ParsePacer.create();

import type { Socket } from "node:net";

/** Time in a turn of the event loop that the reads of one connection may take, and that reads of at least this length may take together. */
const maxConnectionMs = 1;
const maxLongReadsMs = 4;
/** Time that connections which are resumed may take of what has been read already, in addition. */
const maxResumedMs = 2;
/** Time from which the next turn is awaited: each wait takes a pass of the event loop. */
const minCountedMs = 0.2;
/** Every so many turns a connection of long reads is read ahead of the others. */
const longTurnInterval = 4;
/** How long a warning counts for new connections. */
const warnedMs = 10_000;

/** One connection whose parsing is paced. */
interface PacedConnection {
    readonly socket: Socket;
    /** Parses what has been read of it already. */
    readOn?: () => void;
    /** Prepares for reads that take far too long. */
    heed?: () => void;
    /** The latest turn in which it was read, and the time that its reads took in that turn. */
    turn: number;
    spentMs: number;
    /** Orders connections by their latest reads; one that has not been read, by its begin. */
    readNumber: number;
    /** Whether it is not read before a later turn. */
    isWaiting: boolean;
    /** Whether its reading is paused for this reason alone. */
    isPaused: boolean;
}

/**
 * Bounds the time that parsing what callers send takes in one turn of the event loop, whatever it consists of: chunks of one byte take a thousand times as long as
 * their bytes in one chunk. A read cannot be interrupted, so all connections that have not been read wait for a later turn after a long one, new ones among them.
 */
export class ParsePacer {
    private turn = 0;
    private turnMs = 0;
    private longReadsMs = 0;
    private readCount = 0;
    private pauseCount = 0;
    private warnedAt: number | undefined;
    private isScheduled = false;
    private isResuming = false;
    private readonly connections = new Map<Socket, PacedConnection>();
    private waiting: PacedConnection[] = [];

    private constructor() {}

    static create(): ParsePacer {
        return new ParsePacer();
    }

    /** How often a connection had to wait for a later turn because of what it sent, since the start. */
    get pauses(): number {
        return this.pauseCount;
    }

    /** A read took far too long. */
    warn(): void {
        this.warnedAt = performance.now();
        this.connections.forEach(({ heed }) => heed?.());
    }

    /** Has `heed` called at a warning, or now if there was one lately. */
    onWarning(socket: Socket, heed: () => void): void {
        const connection = this.connections.get(socket);
        if (connection) {
            connection.heed = heed;
        }
        if (this.warnedAt !== undefined && performance.now() - this.warnedAt < warnedMs) {
            heed();
        }
    }

    /** Paces a connection that a server has just accepted. */
    open(socket: Socket): void {
        const connection: PacedConnection = { socket, turn: -1, spentMs: 0, readNumber: ++this.readCount, isWaiting: false, isPaused: false };
        this.connections.set(socket, connection);
        // The runtime resumes connections whose bodies are read. It tells so in a later tick, when it may have paused one again.
        socket.on("resume", () => connection.isWaiting && !socket.isPaused() && this.pause(connection));
        socket.once("close", () => this.connections.delete(socket));
        if (this.isTurnFull) {
            // It would be read ahead of those that wait already.
            this.wait(connection);
        }
    }

    /** Has `readOn` called whenever a connection need not wait any longer. */
    onResume(socket: Socket, readOn: () => void): void {
        const connection = this.connections.get(socket);
        if (connection) {
            connection.readOn = readOn;
        }
    }

    /** Whether a connection has to wait for a later turn. */
    isWaiting(socket: Socket): boolean {
        return this.connections.get(socket)?.isWaiting === true;
    }

    /** Something of a connection has been parsed, which took some time. */
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
        connection.readNumber = ++this.readCount;
        connection.spentMs += tookMs;
        if (connection.spentMs < maxConnectionMs) {
            return;
        }
        this.pauseCount++;
        this.wait(connection);
        if (!this.isTurnFull && !this.isResuming) {
            this.longReadsMs += connection.spentMs;
            if (this.isTurnFull) {
                this.connections.forEach(other => other.turn !== this.turn && this.wait(other));
            }
        }
    }

    private get isTurnFull(): boolean {
        return this.longReadsMs >= maxLongReadsMs;
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

    /**
     * Resumes connections whose last reads were short, and as many others as a turn has time for, those that were read least recently first: connections are read in the
     * order in which they are resumed. One that has just been read lets the others go ahead; if there are none it is resumed, so that the end of its connection is read
     * before work is done for a caller that has left.
     */
    private beginTurn(): void {
        this.isScheduled = false;
        this.turn++;
        this.turnMs = 0;
        this.longReadsMs = 0;
        this.waiting.sort((a, b) => a.readNumber - b.readNumber);
        const isShort = ({ spentMs }: PacedConnection): boolean => spentMs < maxConnectionMs;
        const short = this.waiting.filter(isShort);
        const long = this.waiting.filter(connection => !isShort(connection));
        let expectedMs = 0;
        const resumed: PacedConnection[] = [];
        while (expectedMs < maxResumedMs && long.length > 0 && (short.length === 0 || long[0]!.turn < this.turn - 1)) {
            const next = long.shift()!;
            expectedMs += next.spentMs;
            resumed.push(next);
        }
        this.waiting = long;
        const order = this.turn % longTurnInterval === 0 ? [...resumed, ...short] : [...short, ...resumed];
        this.isResuming = true;
        order.forEach(connection => this.resume(connection));
        this.isResuming = false;
        if (long.length > 0) {
            this.schedule();
        }
    }

    private resume(connection: PacedConnection): void {
        const { socket, isPaused } = connection;
        connection.isWaiting = false;
        connection.isPaused = false;
        // One that has nothing to be read now must not be taken for one of long reads in later turns: it would go ahead of those that have, again and again.
        connection.spentMs = 0;
        if (isPaused && !socket.destroyed) {
            // Before it is read on: what takes its bodies may pause it then.
            socket.resume();
        }
        connection.readOn?.();
    }
}

/** The pacer of this process: all its servers share one event loop. */
export const parsePacer = ParsePacer.create();

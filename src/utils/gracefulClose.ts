import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { Server as NetServer } from "node:net";
import { Server as TlsServer } from "node:tls";
import { nextTurn, sleep } from "./time";

/** A connection that received nothing for this long is quiet; a caller that has just connected, or had its answer, sends its next request sooner. */
const quietMs = 500;
const pollMs = 20;
/** The listen backlog counts as empty after this many turns of the event loop without a new connection; a turn accepts at most one. */
const quietTurns = 3;
/** Greatest share of the remaining time that is left to the connections accepted last. */
const maxSendShare = 0.5;

/** What a server that stops listening has taken from its listen backlog. */
export interface DrainedBacklog {
    /** Connections that were accepted since the server was told to stop listening. */
    readonly accepted: number;
    /** Whether no connection was left that the close of the listener resets. */
    readonly isEmpty: boolean;
    /** Whether new connections were kept out at the end; undefined if that was not needed. */
    readonly isLimited?: boolean;
}

/** A server with the runtime's undocumented handle of its listener. */
type HandledServer = Server & { readonly _handle?: { listen?(backlog: number): number; }; };

/** Has the kernel ignore the handshakes of new connections while one waits in the backlog: their callers repeat them after a second. Returns whether it does. */
const limitBacklog = (server: Server): boolean => (server as HandledServer)._handle?.listen?.(0) === 0;

interface Connection {
    /** Requests whose responses have not been closed: a response is closed once it was written out. */
    openRequests: number;
    /** Bytes received, and parsed, when the last response was closed; what is received beyond them belongs to a next request. Undefined before that. */
    requestBytes: number | undefined;
    receivedBytes: number;
    /** When the connection was accepted, received bytes or ended a response, on the monotonic clock. */
    activeAt: number;
}

/**
 * Closes an HTTP server without cutting answers that are not written out, connections that callers have just opened, and requests that have arrived but were not read
 * yet. The runtime's own idle connections are not used: it takes a connection for idle as soon as its answer was ended, though its bytes still wait for the reader.
 */
export class GracefulClose {
    private readonly connections = new Map<Socket, Connection>();
    private acceptedCount = 0;
    /** When the last connection was accepted, on the monotonic clock. */
    private acceptedAt = Number.NEGATIVE_INFINITY;
    private drained: DrainedBacklog = { accepted: 0, isEmpty: false };

    private constructor(private readonly server: Server, private readonly unparsedBytes: (socket: Socket) => number) {
        server.on("connection", () => {
            this.acceptedCount++;
            this.acceptedAt = performance.now();
        });
        server.on(server instanceof TlsServer ? "secureConnection" : "connection", (socket: Socket) => this.onConnection(socket));
        server.on("request", ({ socket }: IncomingMessage, res: ServerResponse) => this.onRequest(socket, res));
    }

    /** Tracks the connections of a server that does not listen yet; `unparsedBytes` says how much has been read of one and waits to be parsed. */
    static create(server: Server, unparsedBytes: (socket: Socket) => number = () => 0): GracefulClose {
        return new GracefulClose(server, unparsedBytes);
    }

    /** What has been taken from the listen backlog so far. */
    get drainedBacklog(): DrainedBacklog {
        return this.drained;
    }

    /**
     * Accepts the connections in the listen backlog, which would be reset, and stops listening. New ones may come without end: for the second half of the time they are
     * kept out while one waits, and it stops while those accepted last still have time to send their requests before the deadline, which may move, on the monotonic clock.
     */
    async stopListening(deadlineAt: () => number): Promise<void> {
        const before = this.acceptedCount;
        const beganAt = performance.now();
        const sendMs = Math.max(0, Math.min(quietMs, maxSendShare * (deadlineAt() - beganAt)));
        const remainingMs = (): number => deadlineAt() - sendMs - performance.now();
        // The next turn may take as long as the last one.
        let turnMs = 0;
        let isLimited: boolean | undefined;
        for (let quiet = 0; quiet < quietTurns && remainingMs() > turnMs;) {
            if (isLimited === undefined && performance.now() - beganAt > remainingMs()) {
                isLimited = limitBacklog(this.server);
            }
            const { acceptedCount } = this;
            const startedAt = performance.now();
            await nextTurn();
            turnMs = performance.now() - startedAt;
            quiet = this.acceptedCount === acceptedCount ? quiet + 1 : 0;
            this.drained = { accepted: this.acceptedCount - before, isEmpty: quiet === quietTurns, isLimited };
        }
        const stop = (): unknown => NetServer.prototype.close.call(this.server);
        if (isLimited && !this.drained.isEmpty) {
            // One may wait: the listener is closed as it is accepted, before another one takes its place.
            this.server.once("connection", stop);
            await nextTurn();
            this.server.off("connection", stop);
            this.drained = { ...this.drained, accepted: this.acceptedCount - before };
        }
        if (this.server.listening) {
            // The HTTP server's own method closes connections, too.
            stop();
        }
    }

    /**
     * Waits until all requests have been answered and no connection is about to send one, or until the deadline on the monotonic clock.
     * Closes idle connections meanwhile.
     */
    async finishRequests(inProgress: () => number, deadlineAt: number): Promise<void> {
        for (;;) {
            // Requests that have arrived are read first, so that their connections do not count as idle.
            await nextTurn();
            const isAwaiting = this.closeIdle(quietMs) || this.isInHandshake();
            if (performance.now() >= deadlineAt || (inProgress() === 0 && !isAwaiting)) {
                this.closeIdle(0);
                return;
            }
            await sleep(pollMs);
        }
    }

    private onConnection(socket: Socket): void {
        this.connections.set(socket, { openRequests: 0, requestBytes: undefined, receivedBytes: socket.bytesRead, activeAt: performance.now() });
        socket.once("close", () => this.connections.delete(socket));
    }

    /** Whether a connection may still be in its handshake. */
    private isInHandshake(): boolean {
        return this.server instanceof TlsServer && performance.now() - this.acceptedAt < quietMs;
    }

    private onRequest(socket: Socket, res: ServerResponse): void {
        const connection = this.connections.get(socket);
        if (!connection) {
            return;
        }
        connection.openRequests++;
        res.once("close", () => {
            connection.openRequests--;
            connection.requestBytes = socket.bytesRead - this.unparsedBytes(socket);
            connection.activeAt = performance.now();
        });
    }

    /** Closes connections that have been idle for a time; returns whether a request is open on one, or expected soon. */
    private closeIdle(minIdleMs: number): boolean {
        const now = performance.now();
        let isAwaiting = false;
        // What is read after the end of a connection is not answered.
        for (const [socket, connection] of [...this.connections].filter(([{ writableEnded }]) => !writableEnded)) {
            const { bytesRead } = socket;
            if (bytesRead !== connection.receivedBytes) {
                connection.receivedBytes = bytesRead;
                connection.activeAt = now;
            }
            const isQuiet = now - connection.activeAt >= minIdleMs;
            const isBetweenRequests = connection.requestBytes === bytesRead;
            if (connection.openRequests > 0 || this.unparsedBytes(socket) > 0 || (!isBetweenRequests && !isQuiet)) {
                isAwaiting = true;
            }
            else if (isBetweenRequests && isQuiet) {
                // Not destroyed: bytes that cross the close would reset what the caller has not received yet.
                socket.end();
            }
        }
        return isAwaiting;
    }
}

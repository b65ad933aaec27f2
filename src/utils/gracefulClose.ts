import type { IncomingMessage, Server } from "node:http";
import type { Socket } from "node:net";
import { Server as TlsServer } from "node:tls";
import { nextTurn, sleep } from "./time";

/** A connection that is open for this long without a request is idle; a caller that has just connected sends its request sooner. */
const newConnectionMs = 500;
const pollMs = 20;
/** The listen backlog counts as empty after this many turns of the event loop without a new connection; a turn accepts at most one. */
const quietTurns = 3;
const maxTurns = 2_000;

/** Closes an HTTP server without resetting connections that callers have just opened, or whose request has arrived but was not read yet. */
export class GracefulClose {
    /** Connections that have not sent a request yet, with the time at which they were accepted, on the monotonic clock. */
    private readonly newConnections = new Map<Socket, number>();
    private acceptedCount = 0;

    private constructor(private readonly server: Server) {
        server.on(server instanceof TlsServer ? "secureConnection" : "connection", (socket: Socket) => {
            this.acceptedCount++;
            this.newConnections.set(socket, performance.now());
            socket.once("close", () => this.newConnections.delete(socket));
        });
        server.on("request", ({ socket }: IncomingMessage) => this.newConnections.delete(socket));
    }

    /** Tracks the connections of a server that does not listen yet. */
    static create(server: Server): GracefulClose {
        return new GracefulClose(server);
    }

    /** Accepts the connections in the listen backlog, which would be reset, and stops listening. */
    async stopListening(): Promise<void> {
        for (let quiet = 0, turns = 0; quiet < quietTurns && turns < maxTurns; turns++) {
            const { acceptedCount } = this;
            await nextTurn();
            quiet = this.acceptedCount === acceptedCount ? quiet + 1 : 0;
        }
        this.server.close();
    }

    /**
     * Waits until all requests have been answered and no connection is too new to be idle, or until the deadline on the monotonic clock.
     * Closes idle connections meanwhile.
     */
    async finishRequests(inProgress: () => number, deadlineAt: number): Promise<void> {
        for (;;) {
            // Requests that have arrived are read first, so that their connections do not count as idle.
            await nextTurn();
            this.server.closeIdleConnections();
            if (performance.now() >= deadlineAt || (inProgress() === 0 && !this.hasNewConnection)) {
                return;
            }
            await sleep(pollMs);
        }
    }

    private get hasNewConnection(): boolean {
        const now = performance.now();
        return [...this.newConnections.values()].some(acceptedAt => now - acceptedAt < newConnectionMs);
    }
}

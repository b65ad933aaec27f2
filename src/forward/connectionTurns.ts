import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** The newest request on a connection. */
interface NewestRequest {
    readonly res: ServerResponse;
    /** Resolves when its answer, and those before it, have been sent or given up. */
    readonly done: Promise<void>;
}

/**
 * Lets the requests of one connection be handled one after the other. The HTTP server reads ahead, but answers in order, and drops what it has read when an
 * answer closes the connection: a request that had been sent to an upstream by then would be lost.
 */
export class ConnectionTurns {
    private readonly newest = new WeakMap<Socket, NewestRequest>();

    private constructor() {}

    static create(): ConnectionTurns {
        return new ConnectionTurns();
    }

    /** Waits until the requests ahead have been answered; false if the connection does not outlive them. */
    async wait(socket: Socket, res: ServerResponse): Promise<boolean> {
        const ahead = this.newest.get(socket);
        if (ahead && !ahead.res.headersSent) {
            // The answer ahead need not close the connection: this request's answer can.
            ahead.res.removeHeader("Connection");
        }
        const turn = ahead?.done ?? Promise.resolve();
        this.newest.set(socket, { res, done: turn.then(() => this.waitForEnd(socket, res)) });
        // An idle connection must not keep the head of its last request.
        res.once("close", () => {
            if (this.isNewest(socket, res)) {
                this.newest.delete(socket);
            }
        });
        await turn;
        return this.isOpen(socket);
    }

    /** Whether no further request has been read on the connection. */
    isNewest(socket: Socket, res: ServerResponse): boolean {
        return this.newest.get(socket)?.res === res;
    }

    private isOpen(socket: Socket): boolean {
        return !socket.destroyed && !socket.writableEnded;
    }

    private waitForEnd(socket: Socket, res: ServerResponse): Promise<void> {
        return res.closed || !this.isOpen(socket) ? Promise.resolve() : new Promise(resolve => res.once("close", () => resolve()));
    }
}

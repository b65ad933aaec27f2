import type { IncomingMessage, ServerResponse } from "node:http";
import type { Departures } from "./departures";

/** Tells whether the caller of a request is still there. */
export class CallerPresence {
    private readonly abort = new AbortController();
    /** Aborts when the caller disconnects. */
    readonly signal = this.abort.signal;

    private hasBegun = false;

    private constructor(private readonly req: IncomingMessage, private readonly departures: Departures) {}

    /** Watches a caller's connection until its answer is finished. The end of the caller's side of the connection counts as leaving. */
    static watch(req: IncomingMessage, res: ServerResponse, departures: Departures): CallerPresence {
        const presence = new CallerPresence(req, departures);
        const { socket } = req;
        const onEnd = (): void => presence.abort.abort();
        socket.once("end", onEnd);
        res.once("close", () => {
            socket.off("end", onEnd);
            if (!res.writableFinished) {
                presence.abort.abort();
            }
        });
        return presence;
    }

    /** Waits until the event loop has read whether the caller has left, and returns whether it is still there; to be called just before work is done for it. */
    async confirm(): Promise<boolean> {
        await this.departures.wait(this.hasBegun);
        this.hasBegun = true;
        // The close of a connection that was reset is announced only at the end of the turn.
        if (this.req.socket.destroyed) {
            this.abort.abort();
        }
        return !this.signal.aborted;
    }
}

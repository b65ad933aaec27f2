import type { Socket } from "node:net";
import { connect } from "node:net";

/** How a caller leaves. */
export type Leaving = (socket: Socket) => void;

export const leavings: Readonly<Record<string, Leaving>> = {
    "close": socket => void socket.destroy(),
    "reset": socket => void socket.resetAndDestroy(),
    "half-close": socket => void socket.end(),
};

/** Callers that send one request each and leave together. */
export class LeavingCallers {
    hasLeft = false;

    private constructor(private readonly sockets: readonly Socket[]) {}

    static async connect(address: string, count: number): Promise<LeavingCallers> {
        const colon = address.lastIndexOf(":");
        const sockets = await Promise.all([...Array(count).keys()].map(() =>
            new Promise<Socket>(resolve => {
                const socket = connect(Number(address.slice(colon + 1)), address.slice(0, colon), () => resolve(socket));
                socket.on("error", () => undefined);
                socket.resume();
            })
        ));
        return new LeavingCallers(sockets);
    }

    send(headers: string, bodyBytes: number): void {
        const body = Buffer.alloc(bodyBytes, "x");
        this.sockets.forEach((socket, index) => {
            socket.write(`POST /desk/x HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: left-${index}\r\nDeadline-Ms: 9000\r\n${headers}`);
            socket.write(`Content-Length: ${bodyBytes}\r\n\r\n`);
            socket.write(body);
        });
    }

    leave(leaving: Leaving): void {
        this.hasLeft = true;
        this.sockets.forEach(leaving);
    }

    close(): void {
        this.sockets.forEach(socket => socket.destroy());
    }
}

/** Blocks the event loop. */
export const blockLoop = (ms: number): void => {
    const until = performance.now() + ms;
    while (performance.now() < until) {
        // Nothing else runs.
    }
};

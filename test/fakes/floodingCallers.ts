import type { Server } from "node:http";
import { createServer } from "node:http";
import type { Socket } from "node:net";
import { connect } from "node:net";

/** Callers that each send a head and then a text again and again, as fast as it is read. */
export interface Flood {
    /** IP:PORT of the node. */
    readonly front: string;
    readonly callers: number;
    readonly head: string;
    readonly text: string;
    /** Pause before a caller whose connection was closed opens another one. */
    readonly comeAgainMs: number;
}

const sendEndlessly = (socket: Socket, text: string): void => {
    while (!socket.destroyed && socket.write(text)) {
        // The socket's buffer takes more.
    }
};

const open = (flood: Flood): void => {
    const { front, head, text, comeAgainMs } = flood;
    const [host, port] = front.split(":");
    const socket = connect(Number(port), host);
    socket.on("error", () => undefined);
    socket.on("drain", () => sendEndlessly(socket, text));
    socket.once("connect", () => {
        socket.resume();
        socket.write(head);
        sendEndlessly(socket, text);
    });
    socket.once("close", () => setTimeout(() => open(flood), comeAgainMs));
};

/** Starts callers that flood a node until their process ends. The server that it resolves to serves nobody. */
export const startFloodingCallers = async (port: number, flood: Flood): Promise<Server> => {
    for (let index = 0; index < flood.callers; index++) {
        open(flood);
    }
    const server = createServer();
    await new Promise<void>(resolve => server.listen(port, "127.0.0.1", () => resolve()));
    return server;
};

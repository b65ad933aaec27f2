import type { AddressInfo, Socket } from "node:net";
import { createServer } from "node:net";

/** A request as an upstream received it. */
export interface ReceivedRequest {
    readonly head: string;
    readonly body: string;
    /** How many requests came before it, over all connections. */
    readonly index: number;
    readonly id: string;
}

/** Answers a request with raw bytes. */
export type Script = (socket: Socket, req: ReceivedRequest) => void;

/** An upstream that answers with raw bytes, so that it can break the protocol. */
export interface ScriptedUpstream {
    readonly address: string;
    readonly received: ReceivedRequest[];
    /** Requests whose connection was closed by the other side before an answer was whole. */
    closedEarly: number;
    close(): void;
}

const headerOf = (head: string, name: string): string => new RegExp(`^${name}: (.*)$`, "im").exec(head)?.[1]?.trim() ?? "";

/** Starts a scripted upstream on loopback. */
export const startScriptedUpstream = async (script: Script): Promise<ScriptedUpstream> => {
    const received: ReceivedRequest[] = [];
    const sockets = new Set<Socket>();
    const server = createServer(socket => {
        sockets.add(socket);
        let text = "";
        socket.on("data", chunk => {
            text += chunk.toString("latin1");
            for (let end = text.indexOf("\r\n\r\n"); end >= 0; end = text.indexOf("\r\n\r\n")) {
                const head = text.slice(0, end);
                const length = Number(headerOf(head, "content-length")) || 0;
                if (text.length < end + 4 + length) {
                    return;
                }
                const req = { head, body: text.slice(end + 4, end + 4 + length), index: received.length, id: headerOf(head, "attempt-id") };
                text = text.slice(end + 4 + length);
                received.push(req);
                script(socket, req);
            }
        });
        socket.on("error", () => undefined);
        socket.on("close", () => {
            sockets.delete(socket);
            upstream.closedEarly++;
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", () => resolve()));
    const upstream: ScriptedUpstream = {
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        received,
        closedEarly: 0,
        close: () => {
            server.close();
            sockets.forEach(socket => socket.destroy());
        },
    };
    return upstream;
};

/** A whole answer with the marks of an upstream that ran the request. */
export const answerOf = (id: string, body: string, { status = 200, headers = "" }: { readonly status?: number; readonly headers?: string; } = {}): string =>
    `HTTP/1.1 ${status} Told\r\nAttempt-Id: ${id}\r\nServer-Seal: seal-${id}\r\n${headers}Content-Length: ${body.length}\r\n\r\n${body}`;

/** Head of a stream in chunks. */
export const streamHeadOf = (id: string): string =>
    `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nServer-Seal: seal-${id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`;

/** One chunk of a body. */
export const chunkOf = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;

/** End of a body in chunks. */
export const lastChunk = "0\r\n\r\n";

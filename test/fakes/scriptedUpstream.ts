import type { AddressInfo, Socket } from "node:net";
import { createServer } from "node:net";

/** A request as an upstream received it. */
export interface ReceivedRequest {
    readonly head: string;
    readonly body: string;
    /** Number of requests received before this one, over all connections. */
    readonly index: number;
    readonly id: string;
}

/** Answers a request, with raw bytes or not at all. */
export type Script = (socket: Socket, req: ReceivedRequest, upstream: ScriptedUpstream) => void;

/** An upstream of the platform that answers with raw bytes, so that it can violate the protocol. */
export interface ScriptedUpstream {
    readonly address: string;
    readonly received: ReceivedRequest[];
    /** Number of connections that were closed. */
    closedConnections: number;
    /** Refuses new connections, as if its process had ended. */
    stopListening(): void;
    close(): void;
}

/** Begin of a health check, which is no request of a caller: the upstream answers it whatever its script. */
const healthCheckStart = "GET /h ";

const headerValue = (head: string, name: string): string => new RegExp(`^${name}: (.*)$`, "im").exec(head)?.[1]?.trim() ?? "";

/** Starts a scripted upstream on loopback. */
export const startScriptedUpstream = async (script: Script): Promise<ScriptedUpstream> => {
    const received: ReceivedRequest[] = [];
    const sockets = new Set<Socket>();
    const server = createServer(socket => {
        sockets.add(socket);
        let buffered = "";
        socket.on("data", chunk => {
            buffered += chunk.toString("latin1");
            for (let end = buffered.indexOf("\r\n\r\n"); end >= 0; end = buffered.indexOf("\r\n\r\n")) {
                const head = buffered.slice(0, end);
                const length = Number(headerValue(head, "content-length")) || 0;
                if (buffered.length < end + 4 + length) {
                    return;
                }
                const req = { head, body: buffered.slice(end + 4, end + 4 + length), index: received.length, id: headerValue(head, "attempt-id") };
                buffered = buffered.slice(end + 4 + length);
                if (req.id === "" && head.startsWith(healthCheckStart)) {
                    socket.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                    continue;
                }
                received.push(req);
                script(socket, req, upstream);
            }
        });
        socket.on("error", () => undefined);
        socket.on("close", () => {
            sockets.delete(socket);
            upstream.closedConnections++;
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", () => resolve()));
    const upstream: ScriptedUpstream = {
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        received,
        closedConnections: 0,
        stopListening: () => void server.close(),
        close: () => {
            server.close();
            sockets.forEach(socket => socket.destroy());
        },
    };
    return upstream;
};

/** A complete answer, with the headers of an upstream that ran the request. */
export const answerOf = (id: string, body: string, { status = 200, headers = "" }: { readonly status?: number; readonly headers?: string; } = {}): string =>
    `HTTP/1.1 ${status} Told\r\nAttempt-Id: ${id}\r\nServer-Seal: seal-${id}\r\n${headers}Content-Length: ${body.length}\r\n\r\n${body}`;

/** Head of an answer that is a stream of events in chunked encoding. */
export const streamHeadOf = (id: string): string =>
    `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nServer-Seal: seal-${id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`;

/** One chunk of a body in chunked encoding. */
export const chunkOf = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;

/** End of a body in chunked encoding. */
export const lastChunk = "0\r\n\r\n";

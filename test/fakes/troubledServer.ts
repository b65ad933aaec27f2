import type { AddressInfo, Socket } from "node:net";
import { createServer } from "node:net";

/** Writes an answer, or what a server in trouble sends instead. */
export type Trouble = (socket: Socket) => void;

const flood = Buffer.alloc(65_536, "x");

/** Writes as fast as the reader takes it until the connection closes. */
export const writeEndlessly = (socket: Socket, bytes: Buffer | string): void => {
    const write = (): void => {
        while (!socket.destroyed && socket.write(bytes)) {
            // The socket's buffer takes more.
        }
    };
    socket.on("drain", write);
    write();
};

/** Writes pieces with a pause between them, and stops when the connection closes. */
const drip = (socket: Socket, pieces: readonly string[], pauseMs: number): void => {
    let next = 0;
    const timer = setInterval(() => {
        const piece = pieces[next++];
        if (piece === undefined || socket.destroyed) {
            clearInterval(timer);
            return;
        }
        socket.write(piece);
    }, pauseMs);
};

/** Bytes without end that are no answer, in a head or a body. */
export const endlessTroubles: Readonly<Record<string, Trouble>> = {
    "a status line without end": socket => {
        socket.write("HTTP/1.1 200 ");
        writeEndlessly(socket, flood);
    },
    "one header without end": socket => {
        socket.write("HTTP/1.1 200 OK\r\nA: ");
        writeEndlessly(socket, flood);
    },
    "headers without end": socket => {
        socket.write("HTTP/1.1 200 OK\r\n");
        writeEndlessly(socket, "A: b\r\n".repeat(1_000));
    },
    "informational answers without end": socket => writeEndlessly(socket, "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(1_000)),
    "bytes that are no HTTP": socket => writeEndlessly(socket, flood),
    "a body without length and end": socket => {
        socket.write("HTTP/1.1 200 OK\r\nAttempt-Id: id-1\r\nServer-Seal: s\r\n\r\n");
        writeEndlessly(socket, flood);
    },
    "chunks without end": socket => {
        socket.write("HTTP/1.1 200 OK\r\nAttempt-Id: id-1\r\nServer-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n");
        writeEndlessly(socket, `10000\r\n${flood.toString()}\r\n`);
    },
    "a chunk extension without end": socket => {
        socket.write("HTTP/1.1 200 OK\r\nAttempt-Id: id-1\r\nServer-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n1;");
        writeEndlessly(socket, flood);
    },
    "a chunk size without end": socket => {
        socket.write("HTTP/1.1 200 OK\r\nAttempt-Id: id-1\r\nServer-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n");
        writeEndlessly(socket, Buffer.alloc(65_536, "0"));
    },
    "trailers without end": socket => {
        socket.write("HTTP/1.1 200 OK\r\nAttempt-Id: id-1\r\nServer-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n");
        writeEndlessly(socket, "A: b\r\n".repeat(1_000));
    },
};

/** An answer that never ends, with a byte now and then. */
export const dripEndlessly = (pauseMs: number): Trouble => socket => {
    socket.write("HTTP/1.1 200 OK\r\nAttempt-Id: id-1\r\nServer-Seal: s\r\nContent-Length: 100000\r\n\r\n");
    drip(socket, Array<string>(10_000).fill(" "), pauseMs);
};

/** A complete answer that arrives in pieces with pauses. */
export const answerSlowly = (body: string, pieceCount: number, pauseMs: number): Trouble => socket => {
    socket.write(`HTTP/1.1 200 OK\r\nAttempt-Id: id-1\r\nServer-Seal: s\r\nContent-Length: ${body.length}\r\n\r\n`);
    const size = Math.ceil(body.length / pieceCount);
    drip(socket, [...Array(pieceCount).keys()].map(index => body.slice(index * size, (index + 1) * size)), pauseMs);
};

/** A server that gives every request the same trouble. */
export interface TroubledServer {
    readonly address: string;
    /** Connections that are open. */
    openCount: number;
    requestCount: number;
    close(): void;
}

/** Starts a troubled server on loopback. */
export const startTroubledServer = async (trouble: Trouble): Promise<TroubledServer> => {
    const sockets = new Set<Socket>();
    const server = createServer(socket => {
        sockets.add(socket);
        troubled.openCount++;
        socket.once("data", () => {
            troubled.requestCount++;
            trouble(socket);
        });
        socket.on("error", () => undefined);
        socket.on("close", () => {
            sockets.delete(socket);
            troubled.openCount--;
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", () => resolve()));
    const troubled: TroubledServer = {
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        openCount: 0,
        requestCount: 0,
        close: () => {
            server.close();
            sockets.forEach(socket => socket.destroy());
        },
    };
    return troubled;
};

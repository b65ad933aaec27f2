import type { Socket } from "node:net";

/** Where an answer stops. */
export interface Stop {
    readonly name: string;
    readonly bytes: (id: string) => string;
    /** Body of an answer that is whole by the protocol if its connection ends in order: its head has no length. */
    readonly wholeBody?: (id: string) => string;
}

const start = (id: string): string => `HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: ${id}\r\nServer-Seal: s\r\n`;
const withLength = (id: string, body: string): string => `${start(id)}Content-Length: 100\r\n\r\n${body}`;
const withChunks = (id: string, body: string): string => `${start(id)}Transfer-Encoding: chunked\r\n\r\n${body}`;
const lineFeeds = (bytes: string): string => bytes.replaceAll("\r\n", "\n");

/** An event with the ID of the request, so that nobody takes it for another's. */
export const eventOf = (number: number, id: string): string => `id: ${number}\ndata: ${id}\n\n`;
const firstEvent = (id: string): string => eventOf(1, id);
const chunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;

/** Ways to stop in the middle of an answer. */
export const stops: readonly Stop[] = [
    { name: "before the first byte", bytes: () => "" },
    { name: "in the protocol's name", bytes: () => "HT" },
    { name: "after the protocol's name", bytes: () => "HTTP/1.1" },
    { name: "in the status", bytes: () => "HTTP/1.1 2" },
    { name: "after the status", bytes: () => "HTTP/1.1 200" },
    { name: "in the reason", bytes: () => "HTTP/1.1 200 O" },
    { name: "in the end of the status line", bytes: () => "HTTP/1.1 200 OK\r" },
    { name: "after the status line", bytes: () => "HTTP/1.1 200 OK\r\n" },
    { name: "in a header's name", bytes: () => "HTTP/1.1 200 OK\r\nAttem" },
    { name: "before a header's value", bytes: () => "HTTP/1.1 200 OK\r\nAttempt-Id:" },
    { name: "in the ID", bytes: id => `HTTP/1.1 200 OK\r\nAttempt-Id: ${id.slice(0, -1)}` },
    { name: "after the ID", bytes: id => `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\n` },
    { name: "in the seal's name", bytes: id => `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nServer-Se` },
    { name: "in the seal", bytes: id => start(id).slice(0, -2) },
    { name: "in the end of the seal's line", bytes: id => start(id).slice(0, -1) },
    { name: "after the seal", bytes: start },
    { name: "in the end of a head without a length", bytes: id => `${start(id)}\r` },
    { name: "after a head without a length", bytes: id => `${start(id)}\r\n`, wholeBody: () => "" },
    { name: "in a body without a length", bytes: id => `${start(id)}\r\n${firstEvent(id)}`, wholeBody: firstEvent },
    { name: "in the length", bytes: id => `${start(id)}Content-Length: 1` },
    { name: "after the length", bytes: id => `${start(id)}Content-Length: 100\r\n` },
    { name: "after a length of 0", bytes: id => `${start(id)}Content-Length: 0\r\n` },
    { name: "after a head with a length", bytes: id => withLength(id, "") },
    { name: "in a body with a length", bytes: id => withLength(id, "hal") },
    { name: "after an event of a body with a length", bytes: id => withLength(id, firstEvent(id)) },
    { name: "before the end of a head with chunks", bytes: id => withChunks(id, "").slice(0, -2) },
    { name: "after a head with chunks", bytes: id => withChunks(id, "") },
    { name: "in the size of a chunk", bytes: id => withChunks(id, "1") },
    { name: "after the size of a chunk", bytes: id => withChunks(id, "12\r\n") },
    { name: "in a chunk", bytes: id => withChunks(id, "12\r\nid: 1") },
    { name: "after a chunk", bytes: id => withChunks(id, chunk(firstEvent(id))) },
    { name: "in an event", bytes: id => withChunks(id, chunk(`${firstEvent(id)}id: 2\nda`)) },
    { name: "in the last chunk's size", bytes: id => withChunks(id, `${chunk(firstEvent(id))}0`) },
    { name: "after the last chunk's size", bytes: id => withChunks(id, `${chunk(firstEvent(id))}0\r\n`) },
    { name: "in the trailers", bytes: id => withChunks(id, `${chunk(firstEvent(id))}0\r\nA: b`) },
    { name: "in the end of the chunks", bytes: id => withChunks(id, `${chunk(firstEvent(id))}0\r\n\r`) },
    { name: "after a 100", bytes: () => "HTTP/1.1 100 Continue\r\n\r\n" },
    { name: "after a 103, in a head", bytes: id => `HTTP/1.1 103 Early Hints\r\n\r\n${start(id)}` },
    { name: "in a head of HTTP/1.0", bytes: id => start(id).replace("1.1", "1.0") },
    { name: "in a body of HTTP/1.0 with a length", bytes: id => withLength(id, "hal").replace("1.1", "1.0") },
    { name: "in a head of line feeds", bytes: id => lineFeeds(start(id)) },
    { name: "in a body after a head of line feeds", bytes: id => lineFeeds(withLength(id, "hal")) },
];

/** How the connection of an answer that stops ends. */
export interface End {
    readonly name: string;
    readonly isReset?: boolean;
    readonly end: (socket: Socket, bytes: string) => void;
}

const lateEndMs = 60;

export const ends: readonly End[] = [
    {
        name: "a close",
        end: (socket, bytes) => {
            socket.write(bytes);
            socket.destroySoon();
        },
    },
    { name: "a half-close", end: (socket, bytes) => void socket.end(bytes) },
    { name: "a reset", isReset: true, end: (socket, bytes) => void socket.write(bytes, () => void socket.resetAndDestroy()) },
    {
        name: "a late close",
        end: (socket, bytes) => {
            socket.write(bytes);
            setTimeout(() => socket.end(), lateEndMs);
        },
    },
];

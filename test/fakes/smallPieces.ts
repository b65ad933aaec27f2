import type { Socket } from "node:net";
import type { Trouble } from "./troubledServer";

/** Bytes written at once. */
const writeBytes = 65_536;

/** How an answer without end is framed: what ends its head, and whether each piece is a chunk. */
interface Framing {
    readonly headEnd: string;
    readonly isChunked: boolean;
}

const chunked: Framing = { headEnd: "Transfer-Encoding: chunked\r\n\r\n", isChunked: true };
const untilClose: Framing = { headEnd: "\r\n", isChunked: false };
const oneChunk: Framing = { headEnd: `${chunked.headEnd}7fffffff\r\n`, isChunked: false };
const junkForChunk: Framing = { headEnd: chunked.headEnd, isChunked: false };
const hugeLength: Framing = { headEnd: "Content-Length: 1099511627776\r\n\r\n", isChunked: false };
const insideHeader: Framing = { headEnd: "A: ", isChunked: false };

/** What an answer in small pieces consists of; the index counts its pieces. */
export interface PieceForm {
    readonly name: string;
    readonly contentType: string;
    readonly framing: Framing;
    /** Text before the first piece. */
    readonly start?: string;
    readonly piece: (index: number) => string;
}

const json = "application/json";
const events = "text/event-stream";
const sameEvent = (): string => "data:\n\n";
const countedEvent = (index: number): string => `id: ${index}\ndata: z\n\n`;

/** Forms of answers without end in small pieces. */
export const pieceForms: readonly PieceForm[] = [
    { name: "chunks of 1 byte", contentType: json, framing: chunked, piece: () => "x" },
    { name: "chunks of 2 bytes", contentType: json, framing: chunked, piece: () => "xy" },
    { name: "chunks of a line feed", contentType: events, framing: chunked, piece: () => "\n" },
    { name: "a comment a chunk", contentType: events, framing: chunked, piece: () => ":\n" },
    { name: "an event a chunk", contentType: events, framing: chunked, piece: sameEvent },
    { name: "an event with an ID a chunk", contentType: events, framing: chunked, piece: countedEvent },
    { name: "one event in chunks of 1 byte", contentType: events, framing: chunked, start: "data: ", piece: () => "z" },
    { name: "one event in chunks of a line", contentType: events, framing: chunked, piece: () => "data: z\n" },
    { name: "events without chunks", contentType: events, framing: untilClose, piece: sameEvent },
    { name: "events with IDs without chunks", contentType: events, framing: untilClose, piece: countedEvent },
];

/** Further forms of answers without end, which are not in pieces. */
export const endlessForms: readonly PieceForm[] = [
    { name: "one header", contentType: events, framing: insideHeader, piece: () => "x" },
    { name: "junk for the size of a chunk", contentType: events, framing: junkForChunk, piece: () => "junk\r\n" },
    { name: "one chunk", contentType: events, framing: oneChunk, piece: () => "x" },
    { name: "a huge length", contentType: events, framing: hugeLength, piece: () => "x" },
    { name: "no length", contentType: events, framing: untilClose, piece: () => "x" },
    { name: "comments without chunks", contentType: events, framing: untilClose, piece: () => ":\n" },
];

/** The form of this name. */
export const formNamed = (name: string): PieceForm => [...pieceForms, ...endlessForms].find(form => form.name === name)!;

const toChunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;

/** Head of a signed answer of a form. */
export const headOf = (status: number, { contentType, framing }: PieceForm): string =>
    `HTTP/1.1 ${status} Told\r\nAttempt-Id: id-1\r\nServer-Seal: s\r\nContent-Type: ${contentType}\r\n${framing.headEnd}`;

/** The bytes of the next pieces, of about the given size. */
const nextPieces = ({ framing, piece }: PieceForm, from: number, bytes: number): { readonly text: string; readonly next: number; } => {
    let text = "";
    let next = from;
    while (text.length < bytes) {
        const part = piece(next++);
        text += framing.isChunked ? toChunk(part) : part;
    }
    return { text, next };
};

/** Pace of a slow answer: bytes of a write, and time between two of them. */
export interface PiecePace {
    readonly bytes: number;
    readonly pauseMs: number;
}

/** Pace of a slow answer, 240 KB/s. */
export const slow: PiecePace = { bytes: 4_800, pauseMs: 20 };

/** Sends an answer of the form without end, as fast as it is read or at a pace. */
export const sendPieces = (status: number, form: PieceForm, pace?: PiecePace): Trouble => (socket: Socket) => {
    const { start = "" } = form;
    socket.write(headOf(status, form) + (form.framing.isChunked && start !== "" ? toChunk(start) : start));
    let index = 1;
    const nextText = (bytes: number): string => {
        const { text, next } = nextPieces(form, index, bytes);
        index = next;
        return text;
    };
    if (pace) {
        const timer = setInterval(() => socket.destroyed ? clearInterval(timer) : socket.write(nextText(pace.bytes)), pace.pauseMs);
        return;
    }
    const isSame = form.piece(1) === form.piece(2);
    const repeated = isSame ? nextText(writeBytes) : "";
    const write = (): void => {
        while (!socket.destroyed && socket.write(isSame ? repeated : nextText(writeBytes))) {
            // The socket's buffer takes more.
        }
    };
    socket.on("drain", write);
    write();
};

/** Sends a complete answer in chunks of one byte, and closes the connection. */
export const sendInBytes = (socket: Socket, status: number, body: string): void => {
    const chunks = [...Buffer.from(body, "utf8").toString("latin1")].map(byte => `1\r\n${byte}\r\n`).join("");
    socket.end(Buffer.from(`HTTP/1.1 ${status} Told\r\nConnection: close\r\nStore-Era: 1\r\nTransfer-Encoding: chunked\r\n\r\n${chunks}0\r\n\r\n`, "latin1"));
};

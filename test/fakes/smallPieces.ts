import type { Socket } from "node:net";
import type { Trouble } from "./troubledServer";

/** Bytes written at once. */
const writeBytes = 65_536;

/** What an answer in small pieces consists of; the index counts its pieces. */
export interface PieceForm {
    readonly name: string;
    readonly contentType: string;
    readonly isChunked: boolean;
    /** Text before the first piece. */
    readonly start?: string;
    readonly piece: (index: number) => string;
}

const json = "application/json";
const events = "text/event-stream";

/** Forms of answers without end in small pieces. */
export const pieceForms: readonly PieceForm[] = [
    { name: "chunks of 1 byte", contentType: json, isChunked: true, piece: () => "x" },
    { name: "chunks of 2 bytes", contentType: json, isChunked: true, piece: () => "xy" },
    { name: "chunks of a line feed", contentType: events, isChunked: true, piece: () => "\n" },
    { name: "a comment a chunk", contentType: events, isChunked: true, piece: () => ":\n" },
    { name: "an event a chunk", contentType: events, isChunked: true, piece: () => "data:\n\n" },
    { name: "an event with an ID a chunk", contentType: events, isChunked: true, piece: index => `id: ${index}\ndata: z\n\n` },
    { name: "one event in chunks of 1 byte", contentType: events, isChunked: true, start: "data: ", piece: () => "z" },
    { name: "one event in chunks of a line", contentType: events, isChunked: true, piece: () => "data: z\n" },
    { name: "events without chunks", contentType: events, isChunked: false, piece: () => "data:\n\n" },
    { name: "events with IDs without chunks", contentType: events, isChunked: false, piece: index => `id: ${index}\ndata: z\n\n` },
];

const toChunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;

/** Head of a signed answer of a form. */
export const headOf = (status: number, { contentType, isChunked }: PieceForm): string =>
    `HTTP/1.1 ${status} Told\r\nAttempt-Id: id-1\r\nServer-Seal: s\r\nContent-Type: ${contentType}\r\n${isChunked ? "Transfer-Encoding: chunked\r\n" : ""}\r\n`;

/** The bytes of the next pieces, of about the given size. */
const nextPieces = ({ isChunked, piece }: PieceForm, from: number, bytes: number): { readonly text: string; readonly next: number; } => {
    let text = "";
    let next = from;
    while (text.length < bytes) {
        const part = piece(next++);
        text += isChunked ? toChunk(part) : part;
    }
    return { text, next };
};

/** Pace of a slow answer: bytes of a write, and time between two of them. */
export interface PiecePace {
    readonly bytes: number;
    readonly pauseMs: number;
}

/** Sends an answer of the form without end, as fast as it is read or at a pace. */
export const sendPieces = (status: number, form: PieceForm, pace?: PiecePace): Trouble => (socket: Socket) => {
    const { start = "" } = form;
    socket.write(headOf(status, form) + (form.isChunked && start !== "" ? toChunk(start) : start));
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

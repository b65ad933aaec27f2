import { pieceForms, sendPieces } from "./smallPieces";
import type { Trouble } from "./troubledServer";
import { endlessTroubles, writeEndlessly } from "./troubledServer";

const flood = Buffer.alloc(65_536, "x");

const flooding = (framing: string): Trouble => socket => {
    socket.write(`HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n${framing}`);
    writeEndlessly(socket, flood);
};

/** JSON answers without end. */
export const endlessBodies: Readonly<Record<string, Trouble>> = {
    "one chunk": flooding("Transfer-Encoding: chunked\r\n\r\nfffffffffff\r\n"),
    "a huge told length": flooding("Content-Length: 999999999999\r\n\r\n"),
    "no length": flooding("\r\n"),
    "chunks of 1 byte": sendPieces(200, pieceForms.find(({ name }) => name === "chunks of 1 byte")!),
    "one header": endlessTroubles["one header without end"]!,
    "junk in place of a chunk's size": flooding("Transfer-Encoding: chunked\r\n\r\n"),
};

import { answerOf, chunkOf, lastChunk, streamHeadOf } from "./scriptedUpstream";
import type { Script } from "./scriptedUpstream";

/** Server-sent events with the IDs `from` to `to`. */
export const sseEvents = (from: number, to: number): string =>
    [...Array(to - from + 1).keys()].map(offset => `id: ${from + offset}\ndata: piece ${from + offset}\n\n`).join("");

export const refuse: Script = socket => void socket.write("HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
export const answerMisdirected: Script = socket => void socket.write("HTTP/1.1 421 Misdirected\r\nInstance-Id: other\r\nContent-Length: 0\r\n\r\n");
export const answer: Script = (socket, { id }) => void socket.write(answerOf(id, "done"));
export const answerWithError: Script = (socket, { id }) => void socket.write(answerOf(id, "sorry", { status: 500 }));
export const reset: Script = socket => void socket.resetAndDestroy();
export const truncateAnswer: Script = socket => {
    socket.write("HTTP/1.1 200 OK\r\nAttempt-Id: id-1\r\nServer-Seal: s\r\nContent-Length: 100\r\n\r\nhalf");
    setTimeout(() => socket.destroy(), 10);
};
export const answerWithOtherId: Script = socket => void socket.write(answerOf("another-request", "not yours"));
export const sendInvalidBytes: Script = socket => void socket.write("\x01\x02 no answer at all\r\n\r\n");
export const answerUnsigned: Script = (socket, { id }) => void socket.write(`HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nContent-Length: 2\r\n\r\nok`);
export const answerUntilClose: Script = (socket, { id }) =>
    void socket.end(`HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nServer-Seal: s\r\nConnection: close\r\n\r\nno length`);
export const resetUnframedAnswer: Script = (socket, { id }) => {
    socket.write(`HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nServer-Seal: s\r\nConnection: close\r\n\r\nno len`);
    setTimeout(() => socket.resetAndDestroy(), 10);
};
export const resetWithData: Script = (socket, { id }) => {
    const partialAnswer = `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nServer-Seal: s\r\nConnection: close\r\n\r\nno len`;
    socket.write(partialAnswer, () => void socket.resetAndDestroy());
};
export const neverAnswer: Script = () => undefined;
export const completeStream: Script = (socket, { id }) => void socket.write(streamHeadOf(id) + chunkOf(sseEvents(1, 4)) + lastChunk);
export const completeStreamThenReset: Script = (socket, { id }) => {
    socket.write(streamHeadOf(id) + chunkOf(sseEvents(1, 4)) + lastChunk, () => void socket.resetAndDestroy());
};
export const answerThenReset: Script = (socket, { id }) => void socket.write(answerOf(id, "done"), () => void socket.resetAndDestroy());
export const brokenStream: Script = (socket, { id }) => {
    socket.write(streamHeadOf(id) + chunkOf(`${sseEvents(1, 2)}id: 3\ndata: ha`));
    setTimeout(() => socket.destroy(), 10);
};
/** A stream with neither a length nor chunks, which ends with its connection. */
const streamUntilClose = (events: string): Script => (socket, { id }) =>
    void socket.end(`HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nServer-Seal: s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n${events}`);
/** Runs a script and ends the upstream's process some time afterwards. */
export const thenEnd = (script: Script, afterMs = 0): Script => (socket, req, upstream) => {
    script(socket, req, upstream);
    if (afterMs === 0) {
        upstream.stopListening();
    }
    else {
        setTimeout(() => upstream.stopListening(), afterMs);
    }
};
export const streamClosedBetweenEvents = streamUntilClose(sseEvents(1, 2));
export const resetIdentityAnswer: Script = (socket, { id }) => {
    const head = `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nServer-Seal: s\r\nTransfer-Encoding: identity\r\nConnection: close\r\n\r\n`;
    socket.write(`${head}no len`);
    setTimeout(() => socket.resetAndDestroy(), 10);
};
export const completeStreamUntilClose = streamUntilClose(sseEvents(1, 4));
export const resumedStreamUntilClose = streamUntilClose(sseEvents(3, 4));
export const streamClosedInsideEvent = streamUntilClose(`${sseEvents(1, 2)}id: 3\ndata: ha`);
export const streamClosedBeforeFirstEvent = streamUntilClose("");
export const resumedStream: Script = (socket, { id }) => void socket.write(streamHeadOf(id) + chunkOf(sseEvents(3, 4)) + lastChunk);
export const refuseThenAnswer: Script = (socket, req, upstream) => (req.index === 0 ? refuse : answer)(socket, req, upstream);

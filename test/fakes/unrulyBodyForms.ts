import type { Socket } from "node:net";
import type { UnrulyForm } from "./unrulyForm";

const headOf = (route: string, framing: string): string => `POST /${route}/x HTTP/1.1\r\nHost: shop.example\r\n${framing}\r\n\r\n`;
const smallBody = "b".repeat(60_000);
/** A request with a body of 60 KB by length. */
export const postOf60Kb = (route: string): string => `${headOf(route, `Content-Length: ${smallBody.length}`)}${smallBody}`;
/** Requests with bodies of 200 chunks of one byte each. */
export const chunkedPosts = `${headOf("slow", "Transfer-Encoding: chunked")}${"1\r\nx\r\n".repeat(200)}0\r\n\r\n`.repeat(40);

/** Writes a request again and again as fast as the connection takes it, and reads no answer. */
export const sendAhead = (text: string) => (socket: Socket): void => {
    const write = (): void => {
        while (!socket.destroyed && socket.write(text)) {
            // The socket's buffer takes more.
        }
    };
    socket.pause();
    socket.on("drain", write);
    write();
};

const forMs = 8_000;

/** Requests with bodies, sent ahead without ID and deadline; their answers are not read. */
export const unrulyBodyForms: readonly UnrulyForm[] = [
    { name: "pipelined bodies of 60 KB by length for a slow upstream, 30 callers", callers: 30, forMs, begin: sendAhead(postOf60Kb("slow")) },
    {
        name: "pipelined bodies of 60 KB by length for a slow upstream, 120 callers that come again",
        callers: 120,
        forMs,
        comesAgain: true,
        begin: sendAhead(postOf60Kb("slow")),
    },
    { name: "pipelined bodies of 60 KB by length, 30 callers", callers: 30, forMs, begin: sendAhead(postOf60Kb("small")) },
    { name: "pipelined bodies of 60 KB by length, 120 callers that come again", callers: 120, forMs, comesAgain: true, begin: sendAhead(postOf60Kb("small")) },
    { name: "pipelined bodies of 200 chunks of one byte, 120 callers", callers: 120, forMs, begin: sendAhead(chunkedPosts) },
    { name: "pipelined bodies of 200 chunks of one byte, 120 callers that come again", callers: 120, forMs, comesAgain: true, begin: sendAhead(chunkedPosts) },
];

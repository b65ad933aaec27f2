import assert from "node:assert/strict";
import type { IncomingMessage, ServerResponse } from "node:http";
import { createServer } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { connect } from "node:net";
import { describe, it } from "node:test";
import { UnfinishedHeads } from "../src/core/unfinishedHeads";
import { HeadWatch } from "../src/forward/headWatch";
import { sleep } from "../src/utils/time";

const headOf = (path: string, headers: string): string => `POST ${path} HTTP/1.1\r\nHost: shop.example\r\n${headers}\r\n`;
const chunked = "Transfer-Encoding: chunked\r\n";
/** A body of 40,000 bytes whose chunks take the parser far longer than a turn of the event loop may. */
const bytes = [...Array(40_000).keys()].map(index => String(index % 10));
const smallChunks = `${bytes.map(byte => `1\r\n${byte}\r\n`).join("")}0\r\n\r\n`;

/** Sent for a body that nobody takes, and what is read of it: what fills the request's buffer of 16 KB, and one read beyond it. */
const unreadChunks = 500_000;
const unreadMs = 500;
const maxUnreadBytes = 163_840;

interface Case {
    readonly name: string;
    readonly sent: string;
    /** Whether the caller ends its side once it has sent all. */
    readonly isEnded?: boolean;
    /** How many answers of 200 arrive, and what comes instead of a further one. */
    readonly answers: number;
    readonly last?: string;
    /** Requests whose bodies arrived whole and in order. */
    readonly bodies: readonly string[];
}

const whole = headOf("/body", chunked) + smallChunks;
const cases: readonly Case[] = [
    { name: "a body", sent: whole, answers: 1, bodies: ["/body"] },
    { name: "a body, half-closed", sent: whole, isEnded: true, answers: 1, bodies: ["/body"] },
    { name: "two bodies, sent ahead", sent: whole + whole, answers: 2, bodies: ["/body", "/body"] },
    { name: "two hundred requests in one read", sent: headOf("/empty", "Content-Length: 0\r\n").repeat(200), answers: 200, bodies: [] },
    { name: "a request that is answered before its body", sent: headOf("/early", chunked) + smallChunks + whole, answers: 2, bodies: ["/body"] },
    { name: "a body that breaks off in junk", sent: `${headOf("/body", chunked)}${"1\r\nx\r\n".repeat(30_000)}junk\r\n`, answers: 0, last: "400", bodies: [] },
    { name: "a head in tiny headers", sent: headOf("/empty", `${"a: b\r\n".repeat(1_500)}Content-Length: 0\r\n`), answers: 1, bodies: [] },
];

/** Statuses of answers without bodies. */
const statusesOf = (text: string): readonly string[] => [...text.matchAll(/HTTP\/1\.1 (\d{3})/g)].map(([, status]) => status!);

describe("connections that are parsed in slices", () => {
    for (const { name, sent, isEnded, answers, last, bodies } of cases) {
        it(`deliver all that was sent: ${name}`, async () => {
            const received: string[] = [];
            const handle = (req: IncomingMessage, res: ServerResponse): void => {
                watch.end(req);
                res.setHeader("Content-Length", 0);
                if (req.url !== "/body") {
                    req.resume();
                    res.end();
                    return;
                }
                const parts: Buffer[] = [];
                req.on("data", (part: Buffer) => parts.push(part));
                req.once("end", () => {
                    assert.equal(Buffer.concat(parts).toString(), bytes.join(""));
                    received.push(req.url!);
                    res.end();
                });
            };
            const server = createServer(handle);
            const heads = UnfinishedHeads.create<Socket>({ heapLimitBytes: () => 1e9 });
            const watch = HeadWatch.create(heads, () => false, socket => socket.destroy());
            server.on("connection", (socket: Socket) => watch.open(socket));
            await new Promise<void>(resolve => server.listen(0, "127.0.0.1", () => resolve()));
            const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
            let text = "";
            const expected = [...Array(answers).fill("200"), ...last ? [last] : []];
            await new Promise<void>((resolve, reject) => {
                socket.on("data", data => {
                    text += data;
                    if (statusesOf(text).length >= expected.length) {
                        resolve();
                    }
                });
                socket.once("close", () => resolve());
                socket.once("error", reject);
                socket.write(sent);
                if (isEnded) {
                    socket.end();
                }
            });
            socket.destroy();
            server.close();
            server.closeAllConnections();
            assert.deepEqual(statusesOf(text), expected);
            assert.deepEqual(received, bodies);
        });
    }

    /** Guards against a pause for a body that is lost as the connection waits for its share of a turn. */
    it("are not read on while nobody takes a body", async () => {
        const server = createServer(req => watch.end(req));
        const watch = HeadWatch.create(UnfinishedHeads.create<Socket>({ heapLimitBytes: () => 1e9 }), () => false, socket => socket.destroy());
        const accepted = new Promise<Socket>(resolve => server.once("connection", resolve));
        server.on("connection", (socket: Socket) => watch.open(socket));
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", () => resolve()));
        const caller = connect((server.address() as AddressInfo).port, "127.0.0.1");
        caller.on("error", () => undefined);
        caller.write(headOf("/untaken", chunked) + "1\r\nx\r\n".repeat(unreadChunks));
        const { bytesRead } = await accepted.then(socket => sleep(unreadMs).then(() => socket));
        caller.destroy();
        server.close();
        server.closeAllConnections();
        assert.ok(bytesRead > 0 && bytesRead <= maxUnreadBytes, `${bytesRead} bytes were read`);
    });
});

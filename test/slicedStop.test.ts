import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { connect } from "node:net";
import { describe, it } from "node:test";
import { UnfinishedHeads } from "../src/core/unfinishedHeads";
import { HeadWatch } from "../src/forward/headWatch";
import { unparsedBytesOf } from "../src/forward/slicedReader";
import { GracefulClose } from "../src/utils/gracefulClose";

const graceMs = 5_000;
/** Sent at once; each takes a while as it is read, so that the connection waits for its share of a turn after a few of them. */
const requests = 90;
const readMs = 0.5;
/** Consists of its head, so that few slices end within a body, whose request would be seen to be in progress. */
const request = `GET / HTTP/1.1\r\nHost: h\r\nX-Padding: ${"x".repeat(100)}\r\n\r\n`;

const stall = (ms: number): void => {
    const until = performance.now() + ms;
    while (performance.now() < until) {
        /* busy */
    }
};

describe("closing a server gracefully whose connections are parsed in slices", () => {
    /** Guards against a connection that is taken for idle while requests of it have been read and wait to be parsed. */
    it("answers requests that arrived in one read", async () => {
        let inProgress = 0;
        let closed: Promise<void> | undefined;
        const close = async (): Promise<void> => {
            const deadlineAt = performance.now() + graceMs;
            await gracefulClose.stopListening(() => deadlineAt);
            await gracefulClose.finishRequests(() => inProgress, deadlineAt);
            server.closeAllConnections();
        };
        const server = createServer((req, res) => {
            closed ??= close();
            watch.end(req);
            inProgress++;
            res.once("close", () => inProgress--);
            req.resume();
            req.once("end", () => res.end("done"));
            stall(readMs);
        });
        const gracefulClose = GracefulClose.create(server, unparsedBytesOf);
        const watch = HeadWatch.create(UnfinishedHeads.create<Socket>({ heapLimitBytes: () => 1e9 }), () => false, socket => socket.destroy());
        server.on("connection", (socket: Socket) => watch.open(socket));
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", () => resolve()));
        const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
        let answer = "";
        socket.on("data", (bytes: Buffer) => answer += bytes.toString());
        socket.on("error", () => undefined);
        const ended = new Promise<void>(resolve => socket.once("close", () => resolve()));
        socket.write(request.repeat(requests));
        await ended;
        await closed;
        assert.equal(answer.match(/done/g)?.length, requests);
    });
});

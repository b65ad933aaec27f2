import assert from "node:assert/strict";
import type { Server } from "node:http";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { connect } from "node:net";
import { describe, it } from "node:test";
import { GracefulClose } from "../src/utils/gracefulClose";
import { sleep } from "../src/utils/time";

const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
const graceMs = 3_000;

/** Sends `text` on a new connection once `ready` resolves, and resolves with all bytes received until the connection closes. */
const sendOnNewConnection = (port: number, text: string, ready: () => Promise<unknown>): Promise<string> =>
    new Promise(resolve => {
        let answer = "";
        const socket = connect(port, "127.0.0.1", () => void ready().then(() => socket.write(text)));
        socket.on("data", chunk => answer += chunk.toString());
        socket.on("error", err => answer += `${(err as NodeJS.ErrnoException).code}`);
        socket.on("close", () => resolve(answer));
    });

const startServer = async (): Promise<{ readonly server: Server; readonly port: number; readonly close: () => Promise<void>; }> => {
    let inProgress = 0;
    const server = createServer((req, res) => {
        req.resume();
        inProgress++;
        setTimeout(() => res.end("done"), 20);
        res.once("close", () => inProgress--);
    });
    const gracefulClose = GracefulClose.create(server);
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", () => resolve()));
    const close = async (): Promise<void> => {
        await gracefulClose.stopListening();
        await gracefulClose.finishRequests(() => inProgress, performance.now() + graceMs);
        server.closeAllConnections();
    };
    return { server, port: (server.address() as AddressInfo).port, close };
};

describe("closing a server gracefully", () => {
    const connectionCount = 40;
    const cases: readonly { readonly name: string; readonly sendAfterMs: number; }[] = [
        { name: "connections that wait in the listen backlog", sendAfterMs: 0 },
        { name: "connections that have not sent their request yet", sendAfterMs: 200 },
    ];
    for (const { name, sendAfterMs } of cases) {
        it(`answers ${name}`, async () => {
            const { port, close } = await startServer();
            let closed: Promise<void> | undefined;
            const answers = await Promise.all([...Array(connectionCount).keys()].map(() =>
                sendOnNewConnection(port, request, async () => {
                    closed ??= close();
                    await sleep(sendAfterMs);
                })
            ));
            await closed;
            assert.deepEqual(answers.filter(answer => !answer.startsWith("HTTP/1.1 200") || !answer.endsWith("done")), []);
        });
    }

    it("does not wait for idle connections, and ends at the deadline", async () => {
        const { port, close } = await startServer();
        const idle = sendOnNewConnection(port, request, () => Promise.resolve());
        await sleep(100);
        const silent = sendOnNewConnection(port, "", () => Promise.resolve());
        await sleep(50);
        const startedAt = performance.now();
        await close();
        assert.ok(performance.now() - startedAt < graceMs / 2);
        assert.match(await idle, /done/);
        assert.equal(await silent, "");
    });
});

import assert from "node:assert/strict";
import type { Server } from "node:http";
import { createServer } from "node:http";
import { createServer as createTlsServer } from "node:https";
import type { AddressInfo, Socket } from "node:net";
import { connect } from "node:net";
import { describe, it } from "node:test";
import { connect as connectTls } from "node:tls";
import { GracefulClose } from "../src/utils/gracefulClose";
import { sleep } from "../src/utils/time";

const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
const graceMs = 3_000;
const longGraceMs = 8_000;
/** Time of a request that keeps a stop going. */
const slowMs = 1_200;

/** Sends `text` on a new connection once `ready` resolves, and resolves with all bytes received until the connection closes. */
const sendOnNewConnection = (port: number, text: string, ready: () => Promise<unknown>): Promise<string> =>
    new Promise(resolve => {
        let answer = "";
        const socket = connect(port, "127.0.0.1", () => void ready().then(() => socket.write(text)));
        socket.on("data", chunk => answer += chunk.toString());
        socket.on("error", err => answer += `${(err as NodeJS.ErrnoException).code}`);
        socket.on("close", () => resolve(answer));
    });

const startServer = async (body = "done"): Promise<{ readonly server: Server; readonly port: number; readonly close: (forMs?: number) => Promise<void>; }> => {
    let inProgress = 0;
    const server = createServer((req, res) => {
        req.resume();
        inProgress++;
        setTimeout(() => res.end(body), 20);
        res.once("close", () => inProgress--);
    });
    const gracefulClose = GracefulClose.create(server);
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", () => resolve()));
    const close = async (forMs = graceMs): Promise<void> => {
        const deadlineAt = performance.now() + forMs;
        await gracefulClose.stopListening(() => deadlineAt);
        await gracefulClose.finishRequests(() => inProgress, deadlineAt);
        server.closeAllConnections();
    };
    return { server, port: (server.address() as AddressInfo).port, close };
};

/** Keeps the event loop busy. */
const stall = (ms: number): void => {
    const until = performance.now() + ms;
    while (performance.now() < until) {
        /* busy */
    }
};

describe("closing a server gracefully", () => {
    const connectionCount = 40;
    const longTurnMs = 50;
    const handshakeAfterMs = 100;
    /** Connections that wait in the listen backlog while callers come without end. */
    const waitingCount = 10;
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

    /** Guards against a listener that is closed, and resets the requests in its backlog, because accepting them took longer than a second. */
    it("answers all that wait in the listen backlog of a server whose turns are long", async () => {
        const { server, port, close } = await startServer();
        server.prependListener("request", () => stall(longTurnMs));
        let closed: Promise<void> | undefined;
        const answers = await Promise.all([...Array(connectionCount).keys()].map(() =>
            sendOnNewConnection(port, request, () => {
                closed ??= close(longGraceMs);
                return Promise.resolve();
            })
        ));
        await closed;
        assert.deepEqual(answers.filter(answer => !answer.startsWith("HTTP/1.1 200") || !answer.endsWith("done")), []);
    });

    /** Guards against callers that come without end and whose requests are reset in the listen backlog, which is never empty, when the listener is closed at the deadline. */
    it("answers all whose connections are established though a caller comes for each that is accepted", async () => {
        const { server, port, close } = await startServer();
        const callers: { readonly socket: Socket; isConnected: boolean; answer: string; }[] = [];
        const call = (): void => {
            const socket = connect(port, "127.0.0.1", () => {
                caller.isConnected = true;
                socket.write(request);
            });
            const caller = { socket, isConnected: false, answer: "" };
            callers.push(caller);
            socket.on("data", chunk => caller.answer += chunk.toString());
            socket.on("error", () => undefined);
        };
        server.prependListener("request", () => {
            stall(longTurnMs);
            call();
        });
        [...Array(waitingCount)].forEach(call);
        await close();
        await sleep(longTurnMs);
        callers.forEach(({ socket }) => socket.destroy());
        const unanswered = callers.filter(({ isConnected, answer }) => isConnected && !answer.endsWith("done"));
        assert.ok(callers.length > 2 * waitingCount, `${callers.length} callers`);
        assert.equal(unanswered.length, 0, `of ${callers.length}`);
    });

    /** Guards against a listener over TLS that is closed, and a stop that ends, while connections are accepted whose handshakes are not complete. */
    it("answers callers over TLS whose handshakes begin after the stop", async () => {
        let inProgress = 0;
        const psk = Buffer.alloc(32, "k");
        const tls = { ciphers: "PSK", maxVersion: "TLSv1.2" } as const;
        const server = createTlsServer({ ...tls, pskCallback: () => psk }, (req, res) => {
            req.resume();
            inProgress++;
            res.once("close", () => inProgress--);
            res.end("done");
        });
        const gracefulClose = GracefulClose.create(server);
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const { port } = server.address() as AddressInfo;
        let closed: Promise<void> | undefined;
        const close = async (): Promise<void> => {
            const deadlineAt = performance.now() + graceMs;
            await gracefulClose.stopListening(() => deadlineAt);
            await gracefulClose.finishRequests(() => inProgress, deadlineAt);
            server.closeAllConnections();
        };
        const call = async (): Promise<string> => {
            let answer = "";
            const raw = connect(port, "127.0.0.1");
            raw.on("error", () => undefined);
            await new Promise(resolve => raw.once("connect", resolve));
            closed ??= close();
            await sleep(handshakeAfterMs);
            if (raw.destroyed) {
                return "reset";
            }
            return new Promise(resolve => {
                const client = { psk, identity: "caller" };
                const socket = connectTls(
                    { ...tls, socket: raw, pskCallback: () => client, checkServerIdentity: () => undefined },
                    () => socket.write(request),
                );
                socket.on("data", chunk => answer += chunk.toString());
                socket.on("error", err => answer += `${(err as NodeJS.ErrnoException).code}`);
                socket.on("close", () => resolve(answer));
            });
        };
        const answers = await Promise.all([...Array(connectionCount)].map(call));
        await closed;
        assert.deepEqual(answers.filter(answer => !answer.startsWith("HTTP/1.1 200") || !answer.endsWith("done")), []);
    });

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

    /** Guards against a stop that cuts a whole answer because its reader is slower than the server. */
    describe("while an answer waits for its reader", () => {
        const largeBytes = 8 * 1_024 * 1_024;
        const cases: readonly { readonly name: string; readonly requests: string; readonly answers: number; }[] = [
            { name: "one request", requests: request, answers: 1 },
            { name: "two requests in one write", requests: request + request, answers: 2 },
        ];
        for (const { name, requests, answers } of cases) {
            it(`writes it out: ${name}`, async () => {
                const { port, close } = await startServer("x".repeat(largeBytes));
                let received = 0;
                const socket = connect(port, "127.0.0.1", () => socket.write(requests));
                const ended = new Promise<void>(resolve => socket.once("close", () => resolve()));
                socket.on("error", () => undefined);
                await sleep(100);
                const closed = close();
                await sleep(300);
                socket.on("data", (chunk: Buffer) => received += chunk.length);
                await Promise.all([closed, ended]);
                assert.ok(received > answers * largeBytes, `${received} bytes`);
            });
        }
    });

    it("answers a request whose head arrives in parts, on a connection that was used before", async () => {
        const { port, close } = await startServer();
        let answer = "";
        const socket = connect(port, "127.0.0.1", () => socket.write(request));
        socket.on("data", (chunk: Buffer) => answer += chunk.toString());
        socket.on("error", () => undefined);
        await sleep(100);
        socket.write(request.slice(0, 20));
        const closed = close();
        await sleep(200);
        socket.write(request.slice(20));
        await closed;
        assert.equal(answer.match(/done/g)?.length, 2);
    });

    /** Guards against a stop that lasts to its deadline for a request that crossed the close of its connection. */
    it("ends though a caller answers the close with a request and stays", async () => {
        let inProgress = 0;
        const server = createServer((req, res) => {
            req.resume();
            if (!req.socket.writableEnded) {
                inProgress++;
                res.once("close", () => inProgress--);
                setTimeout(() => res.end("done"), req.url === "/slow" ? slowMs : 20);
            }
        });
        const gracefulClose = GracefulClose.create(server);
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const { port } = server.address() as AddressInfo;
        const slow = connect(port, "127.0.0.1", () => slow.write(request.replace(/ \S+ /, " /slow ")));
        const staying = connect({ port, host: "127.0.0.1", allowHalfOpen: true }, () => staying.write(request));
        [slow, staying].forEach(socket => socket.on("error", () => undefined).resume());
        staying.once("end", () => staying.write(request));
        await sleep(100);
        const startedAt = performance.now();
        await gracefulClose.stopListening(() => startedAt + graceMs);
        await gracefulClose.finishRequests(() => inProgress, startedAt + graceMs);
        const tookMs = performance.now() - startedAt;
        staying.destroy();
        slow.destroy();
        assert.ok(tookMs < graceMs, `${tookMs} ms`);
    });
});

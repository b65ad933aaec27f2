import assert from "node:assert/strict";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer } from "node:http";
import { createServer as createTlsServer } from "node:https";
import type { AddressInfo } from "node:net";
import { connect, Socket } from "node:net";
import { describe, it, mock } from "node:test";
import { connect as connectTls } from "node:tls";
import { GracefulClose } from "../src/utils/gracefulClose";

const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
const connectionCount = 40;
/** Needs no certificate. */
const tlsOptions = { ciphers: "PSK-AES128-GCM-SHA256", maxVersion: "TLSv1.2" } as const;
const tlsKey = Buffer.alloc(16, 1);
const helloAfterMs = 50;

interface Case {
    readonly name: string;
    readonly graceMs: number;
    readonly isTls?: boolean;
}

const cases: readonly Case[] = [
    { name: "of a server with TLS, whose callers begin it later", graceMs: 3_000, isTls: true },
    { name: "of a server with little time left", graceMs: 450 },
];

const startTls = (raw: Socket): Promise<Socket> =>
    new Promise(resolve => {
        setTimeout(() => {
            const options = { ...tlsOptions, socket: raw, checkServerIdentity: () => undefined, pskCallback: () => ({ psk: tlsKey, identity: "c" }) };
            const socket = connectTls(options, () => resolve(socket));
            socket.on("error", () => resolve(raw));
        }, helloAfterMs);
    });

/** Sends a request on a new connection, and resolves with all bytes received until it closes. */
const sendOnNewConnection = (port: number, isTls: boolean, onConnected: () => void): Promise<string> =>
    new Promise(resolve => {
        let answer = "";
        const raw = connect(port, "127.0.0.1", () => {
            onConnected();
            void (isTls ? startTls(raw) : Promise.resolve(raw)).then(socket => {
                socket.on("data", (chunk: Buffer) => answer += chunk.toString());
                socket.write(request);
            });
        });
        raw.on("error", err => answer += `${(err as NodeJS.ErrnoException).code}`);
        raw.on("close", () => resolve(answer));
    });

/** Guards against a listener that is closed, and resets the requests of its backlog, before it has accepted all of them. */
describe("a server that stops listening answers all that wait in its listen backlog", () => {
    for (const { name, graceMs, isTls = false } of cases) {
        it(name, async () => {
            let inProgress = 0;
            const listener = (req: IncomingMessage, res: ServerResponse): void => {
                req.resume();
                inProgress++;
                res.once("close", () => inProgress--);
                res.end("done");
            };
            const server: Server = isTls ? createTlsServer({ ...tlsOptions, pskCallback: () => tlsKey }, listener) : createServer(listener);
            const gracefulClose = GracefulClose.create(server);
            await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
            const close = async (): Promise<void> => {
                const deadlineAt = performance.now() + graceMs;
                await gracefulClose.stopListening(() => deadlineAt);
                await gracefulClose.finishRequests(() => inProgress, deadlineAt);
                server.closeAllConnections();
            };
            let closed: Promise<void> | undefined;
            const { port } = server.address() as AddressInfo;
            const answers = await Promise.all([...Array(connectionCount)].map(() => sendOnNewConnection(port, isTls, () => closed ??= close())));
            await closed;
            assert.deepEqual(answers.filter(answer => !answer.startsWith("HTTP/1.1 200") || !answer.endsWith("done")), []);
        });
    }
});

/** The time until the deadline does not end with a turn. */
const turnsUntilDeadline = 5.5;
const maxLateTurns = 0.25;
/** Time for the connections accepted last. */
const sendMs = 500;

/** Guards against a listener that is still open, and accepts connections that nobody reads, when the time of its stop is over. */
describe("a server that stops listening while new connections come without end", () => {
    for (const turnMs of [100, 250, 400]) {
        it(`does so in time for those accepted last, on turns of ${turnMs} ms`, async () => {
            const server = createServer();
            const gracefulClose = GracefulClose.create(server);
            await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
            let now = performance.now();
            const clock = mock.method(performance, "now", () => now);
            let isBusy = true;
            const turn = (): void => {
                now += turnMs;
                server.emit("connection", new Socket());
                if (isBusy) {
                    setImmediate(turn);
                }
            };
            setImmediate(turn);
            const endsAt = now + turnsUntilDeadline * turnMs;
            await gracefulClose.stopListening(() => endsAt + sendMs);
            const lateMs = now - endsAt;
            isBusy = false;
            clock.mock.restore();
            assert.ok(lateMs < maxLateTurns * turnMs && !server.listening, `${lateMs} ms late`);
        });
    }
});

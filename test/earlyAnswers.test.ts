import assert from "node:assert/strict";
import type { AddressInfo, Socket } from "node:net";
import { createServer } from "node:net";
import { after, before, describe, it } from "node:test";
import { RouteKind } from "../src/types/servingConfig";
import { setupLogs } from "../src/utils/events";
import type { CallerResult } from "./fakes/gatewayHarness";
import { callGateway, startGateway } from "./fakes/gatewayHarness";
import { withFleet } from "./fakes/relayFleet";
import { answer } from "./fakes/upstreamScripts";

/** More than the buffers of two sockets on loopback take, so that the upload cannot end while its upstream does not read. */
const bodyBytes = 16_000_000;
const timeoutMs = 4_000;
const maxAnswerMs = timeoutMs + 1_000;
const exitInMs = 3_000;

const part = "id: 1\ndata: x\n\n";
const whole = `${part}id: 2\ndata: y\n\n`;
const start = (id: string, status: number): string => `HTTP/1.1 ${status} Told\r\nContent-Type: text/event-stream\r\nAttempt-Id: ${id}\r\nServer-Seal: s\r\n`;
const chunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;

/** Answers of which only a part is sent, by what would mark the end of their bodies. */
const partialAnswers: Readonly<Record<string, (id: string, status: number) => string>> = {
    length: (id, status) => `${start(id, status)}Content-Length: ${whole.length}\r\n\r\n${part}`,
    chunks: (id, status) => `${start(id, status)}Transfer-Encoding: chunked\r\n\r\n${chunk(part)}`,
    connection: (id, status) => `${start(id, status)}Connection: close\r\n\r\n${part}`,
    "the connection, unannounced,": (id, status) => `${start(id, status)}\r\n${part}`,
    "the connection of HTTP/1.0": (id, status) => `${start(id, status).replace("1.1", "1.0")}\r\n${part}`,
};

const pauseMs = 30;

/** How an upstream ends a connection on which it has answered and whose upload it does not read. */
const ends: Readonly<Record<string, (socket: Socket) => void>> = {
    "a reset": socket => void socket.resetAndDestroy(),
    "a late reset": socket => void setTimeout(() => socket.resetAndDestroy(), pauseMs),
    "a half-close and a reset": socket => void socket.end(() => socket.resetAndDestroy()),
    "a half-close and a late reset": socket => void socket.end(() => void setTimeout(() => socket.resetAndDestroy(), pauseMs)),
    "a close": socket => void socket.destroySoon(),
    "a half-close": socket => void socket.end(),
};

interface EarlyUpstream {
    readonly address: string;
    readonly heads: string[];
    close(): void;
}

/** Starts an upstream that answers once it has read the head of a request, and reads nothing after it. */
const startEarlyUpstream = async (answer: (socket: Socket, id: string) => void): Promise<EarlyUpstream> => {
    const heads: string[] = [];
    const sockets = new Set<Socket>();
    const server = createServer(socket => {
        sockets.add(socket);
        let text = "";
        socket.on("error", () => undefined);
        socket.on("data", data => {
            text += data.toString("latin1");
            const end = text.indexOf("\r\n\r\n");
            if (end < 0) {
                return;
            }
            const head = text.slice(0, end);
            if (head.startsWith("GET /h")) {
                text = "";
                socket.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                return;
            }
            socket.pause();
            socket.removeAllListeners("data");
            heads.push(head);
            answer(socket, /^attempt-id: (.*)$/im.exec(head)![1]!.trim());
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", () => resolve()));
    return {
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        heads,
        close: () => {
            server.close();
            sockets.forEach(socket => socket.destroy());
        },
    };
};

/** What is wrong with the answer that a caller received; undefined if nothing is. */
const faultOf = ({ status, isComplete, body, afterMs }: CallerResult, sentStatus: number): string | undefined => {
    if (afterMs > maxAnswerMs) {
        return `it took ${Math.round(afterMs)} ms`;
    }
    return status === sentStatus && isComplete ? `a part was received as complete: ${JSON.stringify(body)}` : undefined;
};

const body = "x".repeat(bodyBytes);
const deadline = { "deadline-ms": String(timeoutMs) };

/** Guards against parts of answers that callers take for whole ones: one that ends with its connection while the upload is being written may have been cut. */
describe("an answer to an upload that is still being written, and whose connection ends", () => {
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));

    for (const kind of Object.values(RouteKind)) {
        for (const [framing, answerOf] of Object.entries(partialAnswers)) {
            it(`is not received as complete: ${kind} route, body ended by ${framing}`, async () => {
                const faults: string[] = [];
                for (const [name, end] of Object.entries(ends)) {
                    for (const status of [200, 404]) {
                        const upstream = await startEarlyUpstream((socket, id) => {
                            socket.write(answerOf(id, status));
                            end(socket);
                        });
                        const node = await startGateway([upstream.address], { kind, timeoutMs }, [], { maxBodyBytes: bodyBytes });
                        const fault = faultOf(await callGateway(node.address, { body, headers: deadline }), status);
                        assert.ok(upstream.heads.length > 0, "the request was not sent");
                        node.close();
                        upstream.close();
                        if (fault !== undefined) {
                            faults.push(`${status}, ended by ${name}: ${fault}`);
                        }
                    }
                }
                assert.deepEqual(faults, []);
            });
        }
    }

    it("is not received as complete during a stop", async () => {
        const faults: string[] = [];
        for (const [framing, answerOf] of Object.entries(partialAnswers)) {
            for (const [name, end] of Object.entries(ends)) {
                const stops: (() => void)[] = [];
                const upstream = await startEarlyUpstream((socket, id) => {
                    stops.forEach(stop => stop());
                    setTimeout(() => {
                        socket.write(answerOf(id, 200));
                        end(socket);
                    }, pauseMs);
                });
                const node = await startGateway([upstream.address], { timeoutMs }, [], { maxBodyBytes: bodyBytes });
                stops.push(() => node.stop(exitInMs));
                const fault = faultOf(await callGateway(node.address, { body, headers: deadline }), 200);
                assert.ok(upstream.heads.length > 0, "the request was not sent");
                upstream.close();
                if (fault !== undefined) {
                    faults.push(`${framing}, ended by ${name}: ${fault}`);
                }
            }
        }
        assert.deepEqual(faults, []);
    });

    it("is not received as complete through a peer", async () => {
        const faults: string[] = [];
        for (const [framing, answerOf] of Object.entries(partialAnswers)) {
            for (const [name, end] of Object.entries(ends)) {
                const upstream = await startEarlyUpstream((socket, id) => {
                    socket.write(answerOf(id, 200));
                    end(socket);
                });
                await withFleet({ scripts: [answer], maxBodyBytes: bodyBytes, route: { timeoutMs } }, async fleet => {
                    fleet.moveFirstUpstream(upstream.address);
                    const fault = faultOf(await callGateway(fleet.origin.address, { body, headers: deadline }), 200);
                    assert.ok(upstream.heads.length > 0, "the request was not sent");
                    if (fault !== undefined) {
                        faults.push(`${framing}, ended by ${name}: ${fault}`);
                    }
                });
                upstream.close();
            }
        }
        assert.deepEqual(faults, []);
    });

    it("is received if it is whole by its length", async () => {
        const upstream = await startEarlyUpstream((socket, id) => void socket.write(`${start(id, 404)}Content-Length: ${whole.length}\r\n\r\n${whole}`));
        const node = await startGateway([upstream.address], { timeoutMs }, [], { maxBodyBytes: bodyBytes });
        const result = await callGateway(node.address, { body, headers: deadline });
        node.close();
        upstream.close();
        assert.deepEqual([result.status, result.body, result.isComplete], [404, whole, true]);
    });

    it("leaves no connection to other requests, which would wait behind the rest of the upload", async () => {
        const upstream = await startEarlyUpstream((socket, id) => void socket.write(`${start(id, 200)}Content-Length: ${whole.length}\r\n\r\n${whole}`));
        const node = await startGateway([upstream.address], { timeoutMs }, [], { maxBodyBytes: bodyBytes });
        const statuses: (number | undefined)[] = [];
        for (const id of ["id-1", "id-2", "id-3"]) {
            statuses.push((await callGateway(node.address, { body, headers: { ...deadline, "attempt-id": id } })).status);
        }
        node.close();
        upstream.close();
        assert.deepEqual(statuses, [200, 200, 200]);
    });

    it("is still a refusal as not run if it says so", async () => {
        const upstream = await startEarlyUpstream(socket => void socket.end("HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nConnection: close\r\n\r\nbusy"));
        const node = await startGateway([upstream.address], { timeoutMs }, [], { maxBodyBytes: bodyBytes });
        const { status } = await callGateway(node.address, { body, headers: deadline });
        node.close();
        upstream.close();
        assert.equal(status, 503);
    });
});

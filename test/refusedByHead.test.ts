import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { connect } from "node:net";
import { after, before, describe, it } from "node:test";
import { setupLogs } from "../src/utils/events";
import { sleep } from "../src/utils/time";
import type { TestGateway } from "./fakes/gatewayHarness";
import { startGateway } from "./fakes/gatewayHarness";
import { waitFor } from "./fakes/processes";
import type { ScriptedUpstream } from "./fakes/scriptedUpstream";
import { answerOf, startScriptedUpstream } from "./fakes/scriptedUpstream";
import { chunkOf } from "./fakes/sendParts";

const exitInMs = 4_000;
const lateMs = 3_000;
const routeTimeoutMs = 60_000;
/** The rest of the body is sent after this time. */
const restAfterMs = 600;
const maxAtOnceMs = 300;
const waitTimeoutMs = 2_500;
/** Larger than what the runtime reads at once and what the kernel keeps of a connection that nobody reads. */
const body = Buffer.alloc(1_000_000, "x");
const part = body.subarray(0, 1_000);
const rest = body.subarray(part.length);
const lastChunk = Buffer.from("0\r\n\r\n");

interface Case {
    readonly name: string;
    readonly stoppedMsAgo: number;
    readonly headers: string;
    readonly isChunked?: boolean;
    readonly status: number;
}

const cases: readonly Case[] = [
    { name: "late, due after the exit by its route", stoppedMsAgo: lateMs, headers: "", status: 503 },
    { name: "late, due after the exit by its deadline", stoppedMsAgo: lateMs, headers: "Deadline-Ms: 9000\r\n", status: 503 },
    { name: "late, due after the exit, in chunks", stoppedMsAgo: lateMs, headers: "Deadline-Ms: 9000\r\n", isChunked: true, status: 503 },
    { name: "late, due before the exit", stoppedMsAgo: lateMs, headers: "Deadline-Ms: 2000\r\n", status: 200 },
    { name: "soon after the stop", stoppedMsAgo: 0, headers: "", status: 200 },
];

const framed = (bytes: Buffer, isChunked: boolean): Buffer => isChunked ? chunkOf(bytes) : bytes;

/** Guards against requests that a stopping node reads late and is certain to refuse, but whose keys are checked and whose bodies are awaited and kept first: each costs time in which others wait in its listen backlog. */
describe("a request whose body is on its way to a stopping node", () => {
    let upstream: ScriptedUpstream;
    let node: TestGateway;
    let socket: Socket;
    let text = "";
    let isClosed = false;
    const errors: string[] = [];

    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));

    for (const { name, stoppedMsAgo, headers, isChunked = false, status } of cases) {
        it(`${status === 200 ? "is answered" : "is refused by its head"}: ${name}`, async () => {
            upstream = await startScriptedUpstream((upstreamSocket, { id }) => void upstreamSocket.write(answerOf(id, "done")));
            node = await startGateway([upstream.address], { timeoutMs: routeTimeoutMs }, [], { maxBodyBytes: 2 * body.length });
            const { gateway, address, close } = node;
            [text, isClosed, errors.length] = ["", false, 0];
            socket = connect(Number(address.split(":")[1]), "127.0.0.1");
            socket.on("data", data => text += data.toString("latin1"));
            socket.on("error", err => errors.push(String(err)));
            socket.on("close", () => isClosed = true);
            try {
                gateway.isStopping = true;
                gateway.stopRequestedAt = performance.now() - stoppedMsAgo;
                gateway.exitDeadlineAt = performance.now() + exitInMs;
                const framing = isChunked ? "Transfer-Encoding: chunked" : `Content-Length: ${body.length}`;
                socket.write(`POST /desk/x HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: id-1\r\n${headers}${framing}\r\n\r\n`);
                socket.write(framed(part, isChunked));
                await sleep(maxAtOnceMs);
                const early = text;
                await sleep(restAfterMs - maxAtOnceMs);
                socket.write(framed(rest, isChunked));
                if (isChunked) {
                    socket.write(lastChunk);
                }
                await waitFor("the end of the connection", () => isClosed, waitTimeoutMs);
                assert.equal(/^HTTP\/1.1 (\d+) /.exec(text)?.[1], String(status));
                assert.match(text, /\r\nconnection: close\r\n/i);
                assert.deepEqual(errors, [], "the answer is not reset");
                assert.equal(gateway.inProgress, 0);
                const isRefused = status === 503;
                assert.equal(early !== "", isRefused, "answered at once");
                assert.equal(upstream.received.length, isRefused ? 0 : 1, "sent on");
                if (isRefused) {
                    assert.match(text, /\r\nretry-after: 0\.0\d\r\n[^]*problem:stopping/i);
                }
            }
            finally {
                socket.destroy();
                upstream.close();
                close();
            }
        });
    }
});

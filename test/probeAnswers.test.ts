import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { describe, it } from "node:test";
import { toFailure } from "../src/core/failures";
import { probeFailureOf } from "../src/forward/recordFailedConnection";
import { defaultTransportLimits } from "../src/node/transportLimitSettings";
import { RunnerClient } from "../src/platform/runnerClient";
import { askUpstream } from "../src/platform/upstreamQuestion";
import { ContactFailure } from "../src/types/contactFailure";
import { FailureKind } from "../src/types/failureKind";
import { sleep } from "../src/utils/time";
import { hangNewConnections } from "./fakes/linkCut";
import { startScriptedUpstream } from "./fakes/scriptedUpstream";

/** What an upstream in trouble may send that cannot be parsed. */
const unparsable: readonly (readonly [name: string, text: string])[] = [
    ["what is no answer", "SSH-2.0-OpenSSH_9.6\r\n"],
    ["zeros", "\0".repeat(1_000)],
    ["an invalid length", "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n"],
    ["two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n"],
    ["an invalid status", "HTTP/1.1 2x0 OK\r\n\r\n"],
    ["an unknown version", "HTTP/7.3 200 OK\r\n\r\n"],
    ["a header without a colon", "HTTP/1.1 200 OK\r\nabc\r\n\r\n"],
    ["a head that is too large", `HTTP/1.1 200 OK\r\nx: ${"x".repeat(20_000)}\r\n\r\n`],
];

const timeoutMs = 300;
const closingMs = 100;
const lateMs = 200;

interface Case {
    readonly name: string;
    readonly answer: (socket: Socket) => void;
    readonly isAnswered?: true;
    /** How the probe fails, as far as that says something of the path. */
    readonly failure?: ContactFailure;
}

const write = (text: string) => (socket: Socket): void => void socket.write(text);
const end = (text: string) => (socket: Socket): void => void socket.end(text);
const cases: readonly Case[] = [
    { name: "answers", answer: write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), isAnswered: true },
    { name: "closes after the head", answer: end("HTTP/1.1 200 OK\r\n\r\n"), isAnswered: true },
    { name: "closes before the end of its body", answer: end("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nok"), isAnswered: true },
    {
        name: "resets after the head",
        answer: socket => void socket.write("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n", () => setTimeout(() => socket.resetAndDestroy(), 20)),
        isAnswered: true,
    },
    { name: "sends a bad chunk with its head", answer: write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n"), isAnswered: true },
    { name: "sends a body without end", answer: write(`HTTP/1.1 200 OK\r\n\r\n${"x".repeat(200_000)}`), isAnswered: true },
    { name: "answers early hints first", answer: write("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n"), isAnswered: true },
    { name: "sends informational answers without end", answer: write("HTTP/1.1 103 Early Hints\r\n\r\n".repeat(2_000)) },
    ...unparsable.map(([name, text]) => ({ name: `sends ${name}`, answer: write(text) })),
    { name: "is silent", answer: () => undefined },
    {
        name: "switches protocols",
        answer: write("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n"),
        failure: ContactFailure.Ended,
    },
    { name: "closes", answer: socket => void socket.end(), failure: ContactFailure.Ended },
    { name: "closes in its head", answer: end("HTTP/1.1 200 OK\r\nx:"), failure: ContactFailure.Ended },
    { name: "resets", answer: socket => void socket.resetAndDestroy(), failure: ContactFailure.Ended },
];

// Guards against an answer of an upstream in trouble that is taken for an error of this node, and against probes that keep or repeat their connection.
describe("a probe of an upstream that", () => {
    for (const { name, answer, isAnswered = false, failure } of cases) {
        it(name, async () => {
            const heads: string[] = [];
            let connections = 0;
            let open = 0;
            const server = createServer(socket => {
                connections++;
                open++;
                socket.on("error", () => undefined).on("close", () => open--).on("data", data => {
                    heads.push(data.toString());
                    answer(socket);
                });
            });
            await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
            const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
            const result = await askUpstream(
                { id: "up-1", address } as never,
                { healthPath: "/healthz" } as never,
                AbortSignal.timeout(timeoutMs),
                () => undefined,
            )
                .then(() => ({ isAnswered: true, failure: undefined }), (err: unknown) => ({ isAnswered: false, failure: probeFailureOf(err) }));
            await sleep(closingMs);
            server.close();
            assert.deepEqual(result, { isAnswered, failure });
            assert.deepEqual({ connections, open, requests: heads.length }, { connections: 1, open: 0, requests: 1 });
            assert.match(heads[0]!, /^GET \/healthz HTTP\/1\.1\r\n/);
            assert.match(heads[0]!, /\r\nexpect-instance: up-1\r\n/i);
        });
    }
});

// Guards against a runner that answers what cannot be parsed and is never taken for lost.
describe("a request for the report of a runner that", () => {
    for (const [name, text] of unparsable) {
        it(`sends ${name} fails for the runner`, async () => {
            const runner = await startScriptedUpstream(socket => void socket.write(text));
            const err = await RunnerClient.create(defaultTransportLimits).fetchReport({ id: "up-1", address: runner.address, bornAt: 1 } as never)
                .then(() => undefined, (reason: unknown) => reason);
            runner.close();
            assert.ok([FailureKind.UpstreamLost, FailureKind.UpstreamFailed].includes(toFailure(err).kind), toFailure(err).kind);
        });
    }
});

/** Guards against a probe that outlasts its time, and then counts as a failed connection, while its connection is being opened. */
describe("a probe whose connection stays silent", () => {
    it("ends at its time, and says nothing of the path", async () => {
        const upstream = await startScriptedUpstream(() => undefined);
        const resume = hangNewConnections([Number(upstream.address.split(":")[1])]);
        const server = { id: "u", service: "desk", address: upstream.address } as Parameters<typeof askUpstream>[0];
        const startedAt = performance.now();
        const err: unknown = await askUpstream(server, { name: "desk", healthPath: "/h", maxConnections: 1 }, AbortSignal.timeout(timeoutMs), () => undefined)
            .then(
                () => undefined,
                (reason: unknown) => reason,
            );
        const afterMs = performance.now() - startedAt;
        resume();
        upstream.close();
        assert.ok(err !== undefined);
        assert.equal(probeFailureOf(err), undefined);
        assert.ok(afterMs >= timeoutMs - 5 && afterMs < timeoutMs + lateMs, `${afterMs} ms`);
    });
});

import { install } from "@sinonjs/fake-timers";
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { connect } from "node:net";
import { after, before, describe, it } from "node:test";
import { ExitCode } from "../src/cli/exitCode";
import { BodyCutoff } from "../src/forward/bodyCutoff";
import { MemoryHolder } from "../src/types/memoryHolder";
import { setupLogs } from "../src/utils/events";
import { sleep } from "../src/utils/time";
import { callGateway, startGateway } from "./fakes/gatewayHarness";
import { PlatformProcess } from "./fakes/platformProcess";
import { waitFor } from "./fakes/processes";
import { answerOf, startScriptedUpstream } from "./fakes/scriptedUpstream";
import { chunkOf, headOf } from "./fakes/sendParts";

const graceS = 6;
const callers = 8;
const stopAfterMs = 500;
const partMs = 100;
const startTimeoutMs = 8_000;
/** Share of the memory that leaves no room for a body. */
const fullShare = 0.72;
const exitInMs = 3_000;
const part = Buffer.alloc(10, "x");
const longBody = "Content-Length: 9000";

interface Caller {
    readonly socket: Socket;
    text: string;
    isClosed: boolean;
}

const open = (front: string): Caller => {
    const socket = connect(Number(front.split(":")[1]), "127.0.0.1");
    const caller: Caller = { socket, text: "", isClosed: false };
    socket.on("data", data => caller.text += data.toString("latin1"));
    socket.on("error", () => undefined);
    socket.on("close", () => caller.isClosed = true);
    return caller;
};

interface Case {
    readonly name: string;
    readonly framing: string;
    readonly bytes: Buffer;
    /** Whether the rest is sent although the answer has come. */
    readonly goesOn: boolean;
    /** When the request begins, after SIGTERM. */
    readonly beginsAfterMs: number;
}

const cases: readonly Case[] = [
    { name: "of a stated length, to the end of the connection", framing: longBody, bytes: part, goesOn: true, beginsAfterMs: -200 },
    { name: "of a stated length, up to the answer", framing: longBody, bytes: part, goesOn: false, beginsAfterMs: -200 },
    { name: "in chunks, to the end of the connection", framing: "Transfer-Encoding: chunked", bytes: chunkOf(part), goesOn: true, beginsAfterMs: -200 },
    { name: "in chunks, up to the answer", framing: "Transfer-Encoding: chunked", bytes: chunkOf(part), goesOn: false, beginsAfterMs: -200 },
    { name: "of a stated length, begun after SIGTERM", framing: longBody, bytes: part, goesOn: true, beginsAfterMs: 1_000 },
];

/** Guards against requests whose bodies are still being sent when the process exits: their callers were cut without an answer, though they had not run. */
describe("a node process that is stopped while bodies trickle in on kept connections", () => {
    for (const { name, framing, bytes, goesOn, beginsAfterMs } of cases) {
        it(`refuses them as not run, before it exits: ${name}`, async () => {
            const upstream = await startScriptedUpstream((socket, { id }) => void socket.write(answerOf(id, "done")));
            const route = { name: "r", host: "shop.example", prefix: "/desk/", routeKind: "non_idempotent", timeoutMs: 30_000, service: "desk", attempts: 1 };
            const config = { routes: [route], services: [{ name: "desk", healthPath: "/h", maxConns: 100 }] };
            const node = await PlatformProcess.start(graceS, config, { u1: { service: "desk", addr: upstream.address, slots: 50 } });
            const ended = new Promise<number | null>(resolve => node.process.once("exit", resolve));
            try {
                await waitFor("an answer", async () => (await callGateway(node.front)).status === 200, startTimeoutMs);
                const forwarded = upstream.received.length;
                const list = [...Array(callers).keys()].map(() => open(node.front));
                const head = headOf(framing).replace("Deadline-Ms: 8000", "Deadline-Ms: 30000");
                const stopAt = performance.now() + stopAfterMs;
                const sending = list.map(async caller => {
                    caller.socket.write(headOf("Content-Length: 0"));
                    await sleep(Math.max(0, stopAt + beginsAfterMs - performance.now()));
                    caller.socket.write(head);
                    while (!caller.isClosed && (goesOn || !/HTTP\/1.1 503/.test(caller.text))) {
                        caller.socket.write(bytes);
                        await sleep(partMs);
                    }
                });
                await sleep(stopAfterMs);
                node.process.kill("SIGTERM");
                assert.equal(await ended, ExitCode.Ok);
                await Promise.all(sending);
                const kept = /^HTTP\/1.1 200 [^]*?HTTP\/1.1 503 [^]*?retry-after: [^]*?\}$/i;
                assert.deepEqual(list.map(({ text }) => text).filter(text => !kept.test(text)), []);
                assert.equal(upstream.received.length - forwarded, callers, "no body that is not whole was sent on");
            }
            finally {
                node.close();
                upstream.close();
            }
        });
    }
});

describe("a request that waits for memory when its node stops", () => {
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));

    for (const framing of ["Content-Length: 5000", "Transfer-Encoding: chunked"]) {
        it(`is refused as not run before the exit: ${framing}`, async () => {
            const { gateway, address, stop, close } = await startGateway([], { timeoutMs: 30_000 });
            const { memory } = gateway;
            await memory.requestBody(1, 0, new AbortController().signal);
            memory.charge(MemoryHolder.Answers, Math.round(fullShare * memory.limitBytes));
            const caller = open(address);
            try {
                caller.socket.write(headOf(framing).replace("Deadline-Ms: 8000", "Deadline-Ms: 30000"));
                await waitFor("the wait", () => memory.waiting === 1, startTimeoutMs);
                const startedAt = performance.now();
                stop(exitInMs);
                await waitFor("the answer", () => /^HTTP\/1.1 503 [^]*?retry-after: [^]*?\}$/i.test(caller.text), exitInMs);
                assert.ok(performance.now() - startedAt < exitInMs);
                assert.match(caller.text, /problem:stopping/);
                assert.equal(memory.waiting, 0);
            }
            finally {
                caller.socket.destroy();
                close();
            }
        });
    }
});

describe("the time at which bodies are refused before an exit", () => {
    const cases: readonly { readonly name: string; readonly beginsMs: number; readonly atMs: number; readonly endsMs?: number; }[] = [
        { name: "of a body that is awaited", beginsMs: 0, atMs: 2_500 },
        { name: "of a body that is whole before", beginsMs: 0, endsMs: 2_400, atMs: 0 },
        { name: "of a body that begins later", beginsMs: 3_000, atMs: 3_250 },
        { name: "of a body that begins later and is whole soon", beginsMs: 3_000, endsMs: 3_200, atMs: 0 },
    ];
    for (const { name, beginsMs, atMs, endsMs } of cases) {
        it(name, () => {
            const clock = install();
            try {
                const cutoff = BodyCutoff.create();
                cutoff.setExit(5_000);
                let refusedAt = 0;
                clock.tick(beginsMs);
                const unwatch = cutoff.watch(() => refusedAt = performance.now());
                clock.tick((endsMs ?? beginsMs) - beginsMs);
                if (endsMs !== undefined) {
                    unwatch();
                }
                clock.tick(5_000);
                assert.equal(refusedAt, atMs);
            }
            finally {
                clock.uninstall();
            }
        });
    }
});

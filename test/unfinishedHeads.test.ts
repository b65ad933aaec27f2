import assert from "node:assert/strict";
import { connect } from "node:net";
import { describe, it } from "node:test";
import { sleep } from "../src/utils/time";
import { callGateway } from "./fakes/gatewayHarness";
import { HeadSenders } from "./fakes/headSenders";
import { PlatformProcess } from "./fakes/platformProcess";
import { waitFor } from "./fakes/processes";
import { answerOf, startScriptedUpstream } from "./fakes/scriptedUpstream";
import { sendParts } from "./fakes/sendParts";

/** Memory that a node of the platform may use, by its settings file. */
const memoryMb = 350;
const startTimeoutMs = 8_000;
const maxHeaderBytes = 65_536;
const callerCount = 3_000;
/** For how long callers are served beside the others. */
const besideMs = 4_000;
const pauseMs = 100;
const suspendedMs = 1_000;
/** Deadline of a caller beside the others. */
const maxAnswerMs = 3_000;

const headStart = "POST /desk/x HTTP/1.1\r\nHost: shop.example\r\n";
const wholeRequest = "GET /unknown HTTP/1.1\r\nHost: shop.example\r\n\r\n";
const chunkedBody = "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n";

/** A number of headers of about a size, without their end. */
const headersOf = (bytes: number, headers: number): string => {
    const value = "v".repeat(Math.max(1, Math.floor(bytes / headers) - "X-H0000: \r\n".length));
    return [...Array(headers).keys()].map(index => `X-H${1_000 + index}: ${value}\r\n`).join("");
};

/** Guards against heads and trailers without an end that fill the heap or the memory until the process is ended. */
describe("a node process whose callers do not end their heads", () => {
    interface Case {
        readonly name: string;
        /** What the callers send before the headers. */
        readonly start?: string;
        readonly bytes: number;
        readonly headers: number;
        readonly comesAgain?: boolean;
        /** Whether the node is suspended while the callers send, so that it reads all in one turn. */
        readonly isSuspended?: boolean;
    }
    const cases: readonly Case[] = [
        { name: "60 KB in 1,000 headers", bytes: 60_000, headers: 1_000 },
        { name: "60 KB in 40 headers", bytes: 60_000, headers: 40 },
        { name: "120 KB in 80 headers", bytes: 120_000, headers: 80 },
        { name: "120 KB in 24 headers", bytes: 120_000, headers: 24 },
        { name: "60 KB in 40 headers, behind a request", start: wholeRequest + headStart, bytes: 60_000, headers: 40 },
        { name: "60 KB in 40 headers, from callers that come again", bytes: 60_000, headers: 40, comesAgain: true },
        { name: "60 KB in 1,000 headers, read in one turn", bytes: 60_000, headers: 1_000, isSuspended: true },
        { name: "120 KB in 24 headers, read in one turn", bytes: 120_000, headers: 24, isSuspended: true },
        { name: "trailers of 60 KB in 1,000 headers", start: headStart + chunkedBody, bytes: 60_000, headers: 1_000 },
        { name: "trailers of 120 KB in 24 headers", start: headStart + chunkedBody, bytes: 120_000, headers: 24 },
    ];
    for (const { name, start = headStart, bytes, headers, comesAgain, isSuspended } of cases) {
        it(`goes on, keeps within its memory and serves others: ${name}`, async () => {
            const upstream = await startScriptedUpstream((socket, { id }) => socket.write(answerOf(id, "done")));
            const node = await PlatformProcess.start(
                8,
                {
                    limits: { maxHeaderBytes, maxBodyBytes: 10_000, headerTimeoutMs: 6_000, idleTimeoutMs: 9_000 },
                    routes: [{ name: "r", host: "shop.example", prefix: "/desk/", routeKind: "idempotent", timeoutMs: 9_000, service: "s" }],
                    services: [{ name: "s", healthPath: "/h", maxConns: 5_000 }],
                },
                { u1: { service: "s", addr: upstream.address, slots: 5_000 } },
            );
            const senders = HeadSenders.create(node.front, start + headersOf(bytes, headers), comesAgain);
            const isServing = async (): Promise<boolean> => (await callGateway(node.front)).status === 200;
            const large = `${headStart}${headersOf(60_000, 200)}Attempt-Id: id-1\r\nContent-Length: 0\r\n\r\n`;
            const parts = [large.slice(0, 15_000), large.slice(15_000, 40_000), large.slice(40_000)];
            const sendLarge = async (): Promise<{ readonly status?: number; }> => {
                const socket = connect(Number(node.front.split(":")[1]), "127.0.0.1");
                socket.on("error", () => undefined);
                const answer = await sendParts(socket, { parts, pauseMs: 30 });
                socket.destroy();
                return answer;
            };
            const unserved: string[] = [];
            const call = async (kind: string, send: () => Promise<{ readonly status?: number; }>): Promise<void> => {
                const startedAt = performance.now();
                const { status } = await send();
                const afterMs = Math.round(performance.now() - startedAt);
                if (status !== 200 || afterMs > maxAnswerMs) {
                    unserved.push(`${kind}: ${status} after ${afterMs} ms`);
                }
            };
            try {
                await waitFor("an answer", isServing, startTimeoutMs);
                const sendWhileSuspended = async (): Promise<void> => {
                    await senders.open(callerCount);
                    await sleep(pauseMs);
                    node.process.kill("SIGSTOP");
                    senders.sendAll();
                    await sleep(suspendedMs);
                    node.process.kill("SIGCONT");
                };
                const sent = isSuspended ? sendWhileSuspended() : senders.send(callerCount);
                const calls: Promise<void>[] = [];
                const until = performance.now() + besideMs;
                while (performance.now() < until && (node.process.exitCode ?? node.process.signalCode ?? "runs") === "runs") {
                    calls.push(call("small head", () => callGateway(node.front)), call("large head in parts", sendLarge));
                    await sleep(pauseMs);
                }
                await sent;
                await Promise.all(calls);
                assert.equal(node.process.exitCode ?? node.process.signalCode ?? "runs", "runs");
                assert.ok(node.peakMemoryMb <= memoryMb, `${Math.round(node.peakMemoryMb)} MB`);
                assert.deepEqual(unserved, [], `${unserved.length} of ${calls.length}`);
                senders.leave();
                await waitFor("memory that is given back", async () => await node.gauge("jackdawtrail_unfinished_head_bytes") === 0, startTimeoutMs);
            }
            finally {
                senders.leave();
                node.close();
                upstream.close();
            }
        });
    }
});

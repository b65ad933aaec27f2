import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { RouteKind } from "../src/types/servingConfig";
import { setupLogs } from "../src/utils/events";
import type { ForwardingCase } from "./fakes/forwardingCase";
import { testForwarding } from "./fakes/forwardingCase";
import { startGateway } from "./fakes/gatewayHarness";
import type { RawCall, RawResult } from "./fakes/rawCaller";
import { callRaw } from "./fakes/rawCaller";
import type { Script } from "./fakes/scriptedUpstream";
import { startScriptedUpstream } from "./fakes/scriptedUpstream";
import {
    answerUntilClose,
    brokenStream,
    completeStreamUntilClose,
    resetIdentityAnswer,
    resumedStream,
    sseEvents,
    streamClosedBetweenEvents,
    thenEnd,
} from "./fakes/upstreamScripts";

/** Answers that end with their connection, and a runner that lives on or ends with it. */
const cases: readonly ForwardingCase[] = [
    {
        name: "does not complete a stream whose runner ended between two events",
        kind: RouteKind.Streaming,
        scripts: [thenEnd(streamClosedBetweenEvents)],
        status: 200,
        isComplete: false,
        received: 1,
    },
    {
        name: "does not complete a stream whose runner ended shortly after its connection",
        kind: RouteKind.Streaming,
        scripts: [thenEnd(streamClosedBetweenEvents, 20)],
        status: 200,
        isComplete: false,
        received: 1,
    },
    {
        name: "resumes a stream whose runner ended between two events",
        kind: RouteKind.Streaming,
        isResumable: true,
        maxAttempts: 2,
        scripts: [thenEnd(streamClosedBetweenEvents), resumedStream],
        status: 200,
        body: sseEvents(1, 4),
        received: 2,
    },
    {
        name: "completes a stream that ends with its connection at a runner that lives",
        kind: RouteKind.Streaming,
        scripts: [completeStreamUntilClose],
        status: 200,
        body: sseEvents(1, 4),
        received: 1,
    },
    {
        name: "does not complete a plain answer without a length whose upstream ended with it",
        scripts: [thenEnd(answerUntilClose)],
        status: 502,
        received: 1,
    },
    { name: "treats an answer in identity encoding as incomplete if its connection is reset", scripts: [resetIdentityAnswer], status: 502, received: 1 },
];

/** Streams that are cut, as callers of HTTP/1.0 and 1.1 see their end. */
interface CutCase {
    readonly name: string;
    readonly script: Script;
    readonly call: RawCall;
    readonly isDetectable: (result: RawResult) => boolean;
}

const hasNoLastChunk = ({ bytes }: RawResult): boolean => !bytes.endsWith("0\r\n\r\n");

const largeStreamThenReset: Script = (socket, { id }) => {
    socket.write(`HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nServer-Seal: s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n`);
    for (let index = 1; index <= 400; index++) {
        socket.write(`id: ${index}\ndata: ${"x".repeat(32_000)}\n\n`);
    }
    setTimeout(() => socket.resetAndDestroy(), 300);
};

const cutCases: readonly CutCase[] = [
    {
        name: "resets the connection of an HTTP/1.0 caller whose stream is cut",
        script: brokenStream,
        call: { httpVersion: "1.0" },
        isDetectable: ({ wasReset }) => wasReset,
    },
    { name: "sends no last chunk to a caller whose stream is cut", script: brokenStream, call: { httpVersion: "1.1" }, isDetectable: hasNoLastChunk },
    {
        name: "sends no last chunk to a caller that closes its connection after the answer",
        script: brokenStream,
        call: { httpVersion: "1.1", headers: "Connection: close\r\n" },
        isDetectable: hasNoLastChunk,
    },
    {
        name: "cuts a stream that is reset while its caller reads too slowly",
        script: largeStreamThenReset,
        call: { httpVersion: "1.1", pauseMs: 600 },
        isDetectable: hasNoLastChunk,
    },
];

describe("ends of streams", () => {
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));
    cases.forEach(testForwarding);
    cutCases.forEach(({ name, script, call, isDetectable }) =>
        it(name, async () => {
            const upstream = await startScriptedUpstream(script);
            const node = await startGateway([upstream.address], { kind: RouteKind.Streaming });
            const result = await callRaw(node.address, call);
            node.close();
            upstream.close();
            assert.match(result.bytes, /^HTTP\/1\.1 200/);
            assert.ok(isDetectable(result));
        })
    );
});

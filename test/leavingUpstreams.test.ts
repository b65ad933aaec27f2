import assert from "node:assert/strict";
import { EventEmitter } from "node:events";
import type { IncomingMessage, ServerResponse } from "node:http";
import { Socket } from "node:net";
import { after, before, describe, it } from "node:test";
import { SinkState } from "../src/forward/answerSink";
import { sendAttempt } from "../src/forward/attempt";
import { AttemptEndKind } from "../src/forward/attemptEnd";
import { CallerPresence } from "../src/forward/callerPresence";
import { Departures } from "../src/forward/departures";
import { UpstreamConnectionPool } from "../src/forward/upstreamConnectionPool";
import { defaultTransportLimits } from "../src/node/transportLimitSettings";
import { requestHeaderCodec } from "../src/platform/requestHeaderCodec";
import { RunnerClient } from "../src/platform/runnerClient";
import { RouteKind } from "../src/types/servingConfig";
import { IgnoredHeader } from "../src/types/upstreamWord";
import { setupLogs } from "../src/utils/events";
import type { TestGateway } from "./fakes/gatewayHarness";
import { callGateway, startGateway } from "./fakes/gatewayHarness";
import type { Script } from "./fakes/scriptedUpstream";
import { answerOf, chunkOf, lastChunk, startScriptedUpstream, streamHeadOf } from "./fakes/scriptedUpstream";
import { answer, neverAnswer, sseEvents } from "./fakes/upstreamScripts";

const leaving = "Server-Leaving: 1\r\n";
const send = (text: (id: string) => string): Script => (socket, { id }) => void socket.write(text(id));
const withLeaving = (text: string): string => text.replace("\r\n", `\r\n${leaving}`);

/** Asks the first upstream for a report, as the controller and probes do. */
const fetchReport = async ({ gateway }: TestGateway): Promise<void> => {
    const client = RunnerClient.create(defaultTransportLimits, (runner, word) => gateway.availability.onAnswer(runner, word));
    await client.fetchReport(gateway.directory.get("up-0")!).catch(() => undefined);
};
const callOnce = async ({ address }: TestGateway): Promise<void> => {
    await callGateway(address, { headers: { "deadline-ms": "600" } });
};

describe("an upstream that says that it is leaving", () => {
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));

    interface Case {
        readonly name: string;
        /** Answer of the first upstream. */
        readonly script: Script;
        readonly kind?: RouteKind;
        readonly firstCall?: (node: TestGateway) => Promise<void>;
        /** Requests and calls that the first upstream gets. */
        readonly received?: number;
    }
    const cases: readonly Case[] = [
        { name: "with a success", script: send(id => answerOf(id, "done", { headers: leaving })) },
        { name: "with an error", script: send(id => answerOf(id, "sorry", { status: 500, headers: leaving })) },
        {
            name: "with a misdirected answer in its name",
            script: send(() => withLeaving("HTTP/1.1 421 Other\r\nInstance-Id: up-0\r\nContent-Length: 0\r\n\r\n")),
        },
        { name: "with a refusal", script: send(() => withLeaving("HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")) },
        {
            name: "with a stream's head",
            kind: RouteKind.Streaming,
            script: send(id => withLeaving(streamHeadOf(id)) + chunkOf(sseEvents(1, 4)) + lastChunk),
        },
        { name: "with a late second answer", script: send(() => answerOf("another", "not yours", { headers: leaving })) },
        {
            name: "with an answer that is cut",
            script: socket => void socket.write(`HTTP/1.1 200 OK\r\nAttempt-Id: id-1\r\n${leaving}Content-Length: 100\r\n\r\nhalf`, () => socket.destroy()),
        },
        { name: "with an informational answer", script: send(id => `HTTP/1.1 103 Early\r\n${leaving}\r\n${answerOf(id, "done")}`) },
        {
            name: "with a report",
            script: send(() => withLeaving("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")),
            firstCall: fetchReport,
        },
        { name: "with a report that fails", script: send(() => withLeaving("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")), firstCall: fetchReport },
    ];
    for (const { name, script, kind = RouteKind.NonIdempotent, firstCall = callOnce } of cases) {
        it(`gets no further request after it said so ${name}`, async () => {
            const upstreams = await Promise.all([script, kind === RouteKind.Streaming ? script : answer].map(each => startScriptedUpstream(each)));
            const node = await startGateway(upstreams.map(({ address }) => address), { kind });
            node.gateway.trafficOf("up-0").onFirstByte(1);
            await firstCall(node);
            assert.equal(upstreams[0]!.received.length, 1);
            // A later row of the same process does not lift what it said.
            node.gateway.directory.apply({ id: "up-0", version: 50, server: node.gateway.directory.get("up-0")! });
            await callOnce(node);
            await callOnce(node);
            node.close();
            upstreams.forEach(upstream => upstream.close());
            assert.equal(upstreams[0]!.received.length, 1);
        });
    }

    const invalidHeaders: readonly { readonly name: string; readonly headers: string; readonly reason: IgnoredHeader; }[] = [
        { name: "two values", headers: leaving.repeat(2), reason: IgnoredHeader.LeavingRepeated },
        { name: "another value", headers: "Server-Leaving: 0\r\n", reason: IgnoredHeader.LeavingValue },
        { name: "no value", headers: "Server-Leaving:\r\n", reason: IgnoredHeader.LeavingValue },
    ];
    for (const { name, headers, reason } of invalidHeaders) {
        it(`has its answer delivered, and serves on, if it says so with ${name}`, async () => {
            const upstream = await startScriptedUpstream(send(id => answerOf(id, "done", { headers })));
            const node = await startGateway([upstream.address]);
            const results = [await callGateway(node.address), await callGateway(node.address)];
            node.close();
            upstream.close();
            assert.deepEqual(results.map(({ body }) => body), ["done", "done"]);
            assert.equal(node.gateway.availability.ignoredCount(reason), 2);
        });
    }

    it("may end what is in progress there", async () => {
        const script: Script = (socket, { id, index }) => {
            setTimeout(() => socket.write(answerOf(id, `done ${index}`, { headers: index === 1 ? leaving : "" })), index === 0 ? 300 : 0);
        };
        const upstream = await startScriptedUpstream(script);
        const node = await startGateway([upstream.address]);
        const first = callGateway(node.address, { headers: { "attempt-id": "a" } });
        await new Promise(resolve => setTimeout(resolve, 50));
        const second = await callGateway(node.address, { headers: { "attempt-id": "b" } });
        const third = await callGateway(node.address, { headers: { "attempt-id": "c" } });
        const bodies = [(await first).body, second.body, third.status];
        node.close();
        upstream.close();
        assert.deepEqual(bodies, ["done 0", "done 1", 503]);
        assert.equal(upstream.received.length, 2);
    });

    it("gets no request whose connection was being opened", async () => {
        const upstream = await startScriptedUpstream(neverAnswer);
        const pool = UpstreamConnectionPool.create(upstream.address, 10_000);
        const req = { requestId: "id-1", method: "POST", path: "/x", headers: [], body: Buffer.alloc(0), mayRepeat: false };
        const sink = { onHead: () => undefined, onData: () => SinkState.Ready };
        const guard = { mayStillSend: () => false, onAnyHead: () => undefined, onArrival: () => undefined, onPart: () => undefined };
        const caller = { socket: new Socket() } as IncomingMessage;
        const presence = CallerPresence.watch(caller, new EventEmitter() as ServerResponse, Departures.create());
        const { kind } = await sendAttempt(pool, () => req, requestHeaderCodec, sink, guard, presence, AbortSignal.timeout(1_000));
        upstream.close();
        assert.equal(kind, AttemptEndKind.Withheld);
        assert.equal(upstream.received.length, 0);
    });
});

import assert from "node:assert/strict";
import { EventEmitter } from "node:events";
import type { IncomingMessage, ServerResponse } from "node:http";
import { Socket } from "node:net";
import { after, before, describe, it } from "node:test";
import { AnswerHeads } from "../src/forward/answerHeads";
import { SinkState } from "../src/forward/answerSink";
import { sendAttempt } from "../src/forward/attempt";
import type { AttemptEnd } from "../src/forward/attemptEnd";
import { CallerPresence } from "../src/forward/callerPresence";
import { Departures } from "../src/forward/departures";
import { UpstreamConnectionPool } from "../src/forward/upstreamConnectionPool";
import { requestHeaderCodec } from "../src/platform/requestHeaderCodec";
import { setupLogs } from "../src/utils/events";
import { startScriptedUpstream } from "./fakes/scriptedUpstream";

/** Bytes that the pacer delivers first; the answer ends with them. */
const firstReadBytes = 4_096;
const timeoutMs = 2_000;
const unsigned = "HTTP/1.1 500 Told\r\nContent-Length: 6\r\n\r\nforged";

const busyWait = (ms: number): void => {
    const endAt = performance.now() + ms;
    while (performance.now() < endAt) {
        // Takes the time of the connection's turn.
    }
};

const answerOfSize = (id: string, bytes: number): string => {
    const head = `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nServer-Seal: seal\r\nContent-Length: `;
    const bodyBytes = bytes - head.length - "0000\r\n\r\n".length;
    return `${head}${bodyBytes}\r\n\r\n${"x".repeat(bodyBytes)}`;
};

const send = (pool: UpstreamConnectionPool, id: string): Promise<AttemptEnd> => {
    const req = { requestId: id, method: "POST", path: "/x", headers: ["attempt-id", id], body: Buffer.from("question"), mayRepeat: false };
    const onData = (): SinkState => {
        busyWait(3);
        return SinkState.Ready;
    };
    const guard = {
        heads: AnswerHeads.create(() => 1_000_000_000),
        mayStillSend: () => true,
        onAnyHead: () => undefined,
        onArrival: () => undefined,
        onPart: () => undefined,
    };
    const presence = CallerPresence.watch({ socket: new Socket() } as IncomingMessage, new EventEmitter() as ServerResponse, Departures.create());
    presence.confirm = () => Promise.resolve(true);
    return sendAttempt(pool, () => req, requestHeaderCodec, { onHead: () => undefined, onData }, guard, presence, AbortSignal.timeout(timeoutMs));
};

/** Guards against a request on a kept connection that gets what its upstream sent before the request. */
describe("a connection with bytes behind its answer that have not been parsed", () => {
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));

    it("is not kept for another request", async () => {
        const upstream = await startScriptedUpstream((socket, { id }) => void socket.write(answerOfSize(id, firstReadBytes) + unsigned));
        const pool = UpstreamConnectionPool.create(upstream.address, 10_000);
        const { reason } = await send(pool, "id-1");
        await Promise.resolve();
        assert.equal(reason, "whole");
        assert.equal(pool.size, 0);
        pool.close();
        upstream.close();
    });
});

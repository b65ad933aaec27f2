import assert from "node:assert/strict";
import { subscribe, unsubscribe } from "node:diagnostics_channel";
import { EventEmitter } from "node:events";
import type { IncomingMessage, ServerResponse } from "node:http";
import { Socket } from "node:net";
import { after, before, describe, it } from "node:test";
import { SinkState } from "../src/forward/answerSink";
import { sendAttempt } from "../src/forward/attempt";
import type { AttemptEnd } from "../src/forward/attemptEnd";
import { CallerPresence } from "../src/forward/callerPresence";
import { Departures } from "../src/forward/departures";
import { UpstreamConnectionPool } from "../src/forward/upstreamConnectionPool";
import { requestHeaderCodec } from "../src/platform/requestHeaderCodec";
import { setupLogs } from "../src/utils/events";
import { sleep } from "../src/utils/time";
import type { Script } from "./fakes/scriptedUpstream";
import { answerOf, startScriptedUpstream } from "./fakes/scriptedUpstream";

const maxHeadBytes = 10_000;
const requestCount = 4;
const timeoutMs = 2_000;
/** Channel on which the runtime tells of each socket that connects. */
const openedChannel = "net.client.socket";

/** Sends a request in the turn of the event loop in which it is called, as a node does that has read what had arrived before. */
const send = (pool: UpstreamConnectionPool, id: string): Promise<AttemptEnd> => {
    const req = { requestId: id, method: "POST", path: "/x", headers: ["attempt-id", id], body: Buffer.from("question"), mayRepeat: false };
    const sink = { onHead: () => undefined, onData: () => SinkState.Ready };
    const guard = { mayStillSend: () => true, onAnyHead: () => undefined, onArrival: () => undefined, onPart: () => undefined };
    const presence = CallerPresence.watch({ socket: new Socket() } as IncomingMessage, new EventEmitter() as ServerResponse, Departures.create());
    presence.confirm = () => new Promise(resolve => setImmediate(() => resolve(true)));
    return sendAttempt(pool, () => req, requestHeaderCodec, sink, guard, presence, AbortSignal.timeout(timeoutMs));
};

const headOf = (id: string, version = "1.1"): string => `HTTP/${version} 200 OK\r\nAttempt-Id: ${id}\r\nServer-Seal: seal\r\n`;
const untilClose: Script = (socket, { id }) => void socket.end(`${headOf(id)}\r\nno length`);

/** What happens to a connection when its answer has ended, before the next request is sent. */
interface Case {
    readonly name: string;
    readonly script: Script;
    readonly pauseMs?: number;
    /** Whether the node's side destroys the socket just before the next request. */
    readonly isDestroyed?: boolean;
}

const cases: readonly Case[] = [
    { name: "an answer without a length ended it", script: untilClose },
    {
        name: "an answer without a length that says so ended it",
        script: (socket, { id }) => void socket.end(`${headOf(id)}Connection: close\r\n\r\nno length`),
    },
    { name: "an answer with a length ends it", script: (socket, { id }) => void socket.write(answerOf(id, "done", { headers: "Connection: close\r\n" })) },
    { name: "an answer of HTTP/1.0 ends it", script: (socket, { id }) => void socket.write(`${headOf(id, "1.0")}Content-Length: 4\r\n\r\ndone`) },
    { name: "its upstream closes it with the answer", script: (socket, { id }) => void socket.end(answerOf(id, "done")) },
    {
        name: "its upstream resets it after the answer",
        script: (socket, { id }) => void socket.write(answerOf(id, "done"), () => void socket.resetAndDestroy()),
    },
    {
        name: "its upstream closes it while it is idle",
        script: (socket, { id }) => {
            socket.write(answerOf(id, "done"));
            setTimeout(() => socket.end(), 15);
        },
        pauseMs: 15,
    },
    {
        name: "its client destroyed it, and the next answer has no length",
        script: (socket, req, upstream) => req.index === 0 ? void socket.write(answerOf(req.id, "done")) : untilClose(socket, req, upstream),
        isDestroyed: true,
    },
];

/** Guards against a sound answer that counts as reset because another connection was, and against a request that is lost with a connection closed before. */
describe("a request that follows on a connection in the turn in which that ends", () => {
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));
    for (const { name, script, pauseMs, isDestroyed = false } of cases) {
        it(`gets its whole answer if ${name}`, async () => {
            const upstream = await startScriptedUpstream(script);
            const opened: Socket[] = [];
            const pool = UpstreamConnectionPool.create(upstream.address, maxHeadBytes);
            const reasons: string[] = [];
            const onOpened = (message: unknown): void => void opened.push((message as { readonly socket: Socket; }).socket);
            subscribe(openedChannel, onOpened);
            for (let index = 0; index < requestCount; index++) {
                reasons.push((await send(pool, `id-${index}`)).reason);
                if (pauseMs !== undefined) {
                    await sleep(pauseMs);
                }
                if (isDestroyed) {
                    opened.splice(0).forEach(socket => socket.destroy(new Error("socket idle timeout")));
                }
            }
            unsubscribe(openedChannel, onOpened);
            pool.close();
            upstream.close();
            assert.deepEqual(reasons, Array(requestCount).fill("whole"));
            assert.equal(upstream.received.length, requestCount);
        });
    }
});

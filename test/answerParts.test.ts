import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { ReceivedParts } from "../src/core/receivedParts";
import { TurnWatch } from "../src/core/turnWatch";
import { EventId } from "../src/types/eventId";
import { observeEvents, setupLogs } from "../src/utils/events";
import { MemoryGauge } from "../src/utils/memoryGauge";
import { callGateway, startGateway } from "./fakes/gatewayHarness";
import { startTroubledServer } from "./fakes/troubledServer";

const chunksOf = (status: string, chunk: string, count: number): string =>
    `HTTP/1.1 ${status}\r\nAttempt-Id: id-1\r\nServer-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n${
        `${chunk.length.toString(16)}\r\n${chunk}\r\n`.repeat(count)
    }0\r\n\r\n`;

/** Guards against an incident whose logs do not say in how many pieces answers came, or that the event loop stood still. */
describe("the log", () => {
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));

    const cases: readonly { readonly status: string; readonly event: EventId; }[] = [
        { status: "200 OK", event: EventId.RequestAnswered },
        { status: "500 Internal Server Error", event: EventId.AttemptFailed },
    ];
    for (const { status, event } of cases) {
        it(`says in how many parts an answer of ${status} arrived`, async () => {
            const server = await startTroubledServer(socket => void socket.write(chunksOf(status, "xy", 30)));
            const node = await startGateway([server.address]);
            const seen: unknown[] = [];
            const stopObserving = observeEvents((id, { answerParts, answerBytes }) => id === event && seen.push([answerParts, answerBytes]));
            await callGateway(node.address);
            stopObserving();
            assert.deepEqual(seen, [[30, 60]]);
            assert.deepEqual([node.gateway.receivedParts.parts, node.gateway.receivedParts.bytes], [30, 60]);
            node.close();
            server.close();
        });
    }

    it("says how long the event loop stood still, and what arrived meanwhile", async () => {
        const received = ReceivedParts.create();
        const stop = new AbortController();
        const seen: Readonly<Record<string, unknown>>[] = [];
        const stopObserving = observeEvents((id, fields) => id === EventId.EventLoopDelayed && seen.push(fields));
        const watch = TurnWatch.create(received, () => MemoryGauge.create().read());
        const watching = watch.run(stop.signal);
        const end = performance.now() + 700;
        while (performance.now() < end) {
            // The event loop stands still.
        }
        received.count(7);
        await new Promise(resolve => setTimeout(resolve, 100));
        stop.abort();
        await watching;
        stopObserving();
        assert.equal(seen.length, 1);
        const { lateMs, answerParts, answerBytes } = seen[0]!;
        assert.ok(Number(lateMs) >= 500 && watch.longestMs >= 500, `${String(lateMs)} ms`);
        assert.deepEqual([answerParts, answerBytes], [1, 7]);
    });
});

import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { RouteKind } from "../src/types/servingConfig";
import { setupLogs } from "../src/utils/events";
import { callGateway, startGateway } from "./fakes/gatewayHarness";
import { startScriptedUpstream } from "./fakes/scriptedUpstream";

const burstCount = 30;
const burstGapMs = 40;

const chunkOf = (id: number): string => {
    const event = `id: ${id}\ndata: z\n\n`;
    return `${event.length.toString(16)}\r\n${event}\r\n`;
};

/** Guards against upstreams that count as slow or saturated because several of their events were read together. */
describe("the gap between events of an upstream", () => {
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));

    for (const eventsOfBurst of [1, 5]) {
        it(`is the time for each of them: ${eventsOfBurst} a read`, async () => {
            const upstream = await startScriptedUpstream((socket, { id }) => {
                socket.write(`HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nServer-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`);
                let bursts = 0;
                const timer = setInterval(() => {
                    const firstId = bursts * eventsOfBurst + 1;
                    socket.write([...Array(eventsOfBurst).keys()].map(index => chunkOf(firstId + index)).join(""));
                    if (++bursts === burstCount) {
                        clearInterval(timer);
                        socket.write("0\r\n\r\n");
                    }
                }, burstGapMs);
            });
            const node = await startGateway([upstream.address], { kind: RouteKind.Streaming, timeoutMs: 8_000 });
            await callGateway(node.address);
            const gapMs = node.gateway.trafficOf("up-0").eventGapMs ?? Number.NaN;
            node.close();
            upstream.close();
            const expectedMs = burstGapMs / eventsOfBurst;
            assert.ok(gapMs > 0.5 * expectedMs && gapMs < 2 * expectedMs, `${gapMs.toFixed(1)} ms instead of ${expectedMs}`);
        });
    }
});

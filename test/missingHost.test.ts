import assert from "node:assert/strict";
import { connect } from "node:net";
import { after, before, describe, it } from "node:test";
import { EventId } from "../src/types/eventId";
import { observeEvents, setupLogs } from "../src/utils/events";
import { startGateway } from "./fakes/gatewayHarness";
import { startScriptedUpstream } from "./fakes/scriptedUpstream";
import { answer } from "./fakes/upstreamScripts";

const readAll = (address: string, bytes: string): Promise<string> =>
    new Promise(resolve => {
        const [host, port] = address.split(":");
        const socket = connect(Number(port), host);
        let text = "";
        socket.on("data", data => text += data.toString("latin1"));
        socket.on("error", () => undefined);
        socket.on("close", () => resolve(text));
        socket.write(bytes);
    });

/** Guards against requests that the runtime answers itself: they have no log line and count in no bound, so pipelined ones took 238 MB at a node of 202 MB. */
describe("a request of HTTP/1.1 without a Host header", () => {
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));

    for (const count of [1, 3]) {
        it(`is refused with 400 and a log line, and its connection is closed: ${count} at once`, async () => {
            const upstream = await startScriptedUpstream(answer);
            const node = await startGateway([upstream.address]);
            const refusals: unknown[] = [];
            const stopObserving = observeEvents((event, { kind }) => event === EventId.RequestRefused && refusals.push(kind));
            const text = await readAll(node.address, "GET /desk/x HTTP/1.1\r\nAttempt-Id: id-1\r\n\r\n".repeat(count));
            stopObserving();
            node.close();
            upstream.close();
            assert.deepEqual(text.match(/HTTP\/1\.1 \d+/g), ["HTTP/1.1 400"]);
            assert.equal(refusals.length, 1);
            assert.equal(upstream.received.length, 0);
        });
    }
});

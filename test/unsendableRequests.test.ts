import assert from "node:assert/strict";
import { connect } from "node:net";
import { after, before, describe, it } from "node:test";
import { RouteKind } from "../src/types/servingConfig";
import { setupLogs } from "../src/utils/events";
import { callGateway, startGateway } from "./fakes/gatewayHarness";
import type { Script } from "./fakes/scriptedUpstream";
import { chunkOf, startScriptedUpstream, streamHeadOf } from "./fakes/scriptedUpstream";
import { answer, completeStream } from "./fakes/upstreamScripts";

/** Sends a request as raw bytes and returns all bytes of the answer. */
const callRaw = (address: string, head: string): Promise<string> =>
    new Promise((resolve, reject) => {
        const [host, port] = address.split(":");
        const socket = connect(Number(port), host, () => socket.write(Buffer.from(`${head}\r\nConnection: close\r\n\r\n`, "latin1")));
        const chunks: Buffer[] = [];
        socket.on("data", chunk => chunks.push(chunk));
        socket.on("error", reject);
        socket.on("close", () => resolve(Buffer.concat(chunks).toString("latin1")));
    });

/** Guards against upstreams that count as unreachable, for all callers, after a request that cannot be sent to any. */
describe("a request that cannot be sent", () => {
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));
    const requestHead = "POST /desk/x HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: id-1\r\nContent-Length: 0";

    it("is refused, and its upstreams stay in use", async () => {
        const upstreams = await Promise.all([answer, answer].map(script => startScriptedUpstream(script)));
        const node = await startGateway(upstreams.map(({ address }) => address));
        const answered = await callRaw(node.address, `${requestHead}\r\nodd name: 1`);
        const states = [...upstreams.keys()].map(index => node.gateway.trafficOf(`up-${index}`)).map((
            { isUnreachable, recentFailures },
        ) => [isUnreachable, recentFailures]);
        node.close();
        upstreams.forEach(upstream => upstream.close());
        assert.match(answered, /^HTTP\/1\.1 400 /);
        assert.deepEqual(states, [[false, 0], [false, 0]]);
    });

    it("again after an odd event of its stream is cut, and the next upstream stays in use", async () => {
        const odd: Script = (socket, { id }) => {
            socket.write(streamHeadOf(id) + chunkOf("id: \u0001\ndata: a\n\n"));
            setTimeout(() => socket.destroy(), 10);
        };
        const upstreams = await Promise.all([odd, completeStream].map(script => startScriptedUpstream(script)));
        const node = await startGateway(upstreams.map(({ address }) => address), { kind: RouteKind.Streaming, isResumable: true, maxAttempts: 2 });
        node.gateway.trafficOf("up-1").onFirstByte(100);
        const result = await callGateway(node.address);
        const { isUnreachable } = node.gateway.trafficOf("up-1");
        node.close();
        upstreams.forEach(upstream => upstream.close());
        assert.deepEqual([result.status, result.isComplete, isUnreachable], [200, false, false]);
    });
});

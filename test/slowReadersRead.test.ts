import assert from "node:assert/strict";
import { request } from "node:http";
import type { ClientRequest, IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import { after, before, describe, it } from "node:test";
import { RouteKind } from "../src/types/servingConfig";
import { setupLogs } from "../src/utils/events";
import type { TestGateway } from "./fakes/gatewayHarness";
import { startGateway } from "./fakes/gatewayHarness";
import { waitFor } from "./fakes/processes";
import type { Script } from "./fakes/scriptedUpstream";
import { chunkOf, lastChunk, startScriptedUpstream, streamHeadOf } from "./fakes/scriptedUpstream";

/** More than the kernel takes for a connection that is not read. */
const eventBytes = 50_000;
const eventCount = 200;
const maxUntakenBytes = 12_000_000;
const waitMs = 8_000;
const engine = {
    slots: 8,
    kvTokens: 100_000,
    tokensPerEvent: 5,
    memoryMb: 1_000,
    adapterSlots: 0,
    loadsPerS: 1,
    models: new Map(),
};
const modelHeaders = { model: "m", "token-count": "100,50" };

interface Reader {
    readonly req: ClientRequest;
    res?: IncomingMessage;
    isClosed: boolean;
}

/** A caller that begins a stream and reads nothing of it. */
const readNothing = (address: string, id: string): Reader => {
    const [host, port] = address.split(":");
    const req = request({ host, port, method: "POST", path: "/desk/x", headers: { host: "shop.example", "attempt-id": id, ...modelHeaders }, agent: false });
    const reader: Reader = { req, isClosed: false };
    req.on("response", res => {
        reader.res = res;
        res.pause();
        res.on("error", () => undefined);
        res.on("close", () => reader.isClosed = true);
    });
    req.on("error", () => reader.isClosed = true);
    req.end();
    return reader;
};

/** Guards against runners that are paused by slow callers, which makes them end the answer, and against memory that these take without bound. */
describe("a stream whose caller does not read", () => {
    let sent: Map<string, number>;
    let ended: Set<string>;
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));

    const stream = (countOf: (id: string) => number): Script => (socket: Socket, { id }) => {
        socket.write(streamHeadOf(id));
        let event = 0;
        const write = (): void => {
            while (event < countOf(id)) {
                sent.set(id, ++event);
                if (!socket.write(chunkOf(`id: ${event}\ndata: ${"x".repeat(eventBytes)}\n\n`))) {
                    socket.once("drain", write);
                    return;
                }
            }
            socket.write(lastChunk, () => ended.add(id));
        };
        write();
    };

    const withGateway = async (countOf: (id: string) => number, hasRunnerPressure: boolean, run: (gateway: TestGateway) => Promise<void>): Promise<void> => {
        sent = new Map();
        ended = new Set();
        const upstream = await startScriptedUpstream(stream(countOf));
        const route = { kind: RouteKind.Streaming, timeoutMs: 20_000, latencyObjectiveMs: 5_000 };
        const gateway = await startGateway([upstream.address], route, [], { settings: { hasRunnerPressure }, engine });
        try {
            await run(gateway);
        }
        finally {
            gateway.close();
            upstream.close();
        }
    };

    it("is read to its end from the runner", () =>
        withGateway(() => eventCount, true, async ({ gateway, address }) => {
            const reader = readNothing(address, "id-1");
            await waitFor("the end of the stream", () => ended.has("id-1"), waitMs);
            assert.ok(gateway.slowReaders.usedBytes > 1_000_000, `${gateway.slowReaders.usedBytes} bytes`);
            let received = 0;
            reader.res!.on("data", (chunk: Buffer) => received += chunk.length).resume();
            await waitFor("the end of the answer", () => reader.isClosed, waitMs);
            assert.ok(received > eventBytes * eventCount, `${received} bytes`);
            assert.equal(gateway.slowReaders.usedBytes, 0);
        }));

    it("pauses its upstream where runners do not fail by that", () =>
        withGateway(() => 1_000, false, async ({ gateway, address }) => {
            const reader = readNothing(address, "id-1");
            await waitFor("an answer", () => reader.res !== undefined, waitMs);
            await new Promise(resolve => setTimeout(resolve, 600));
            assert.equal(ended.has("id-1"), false);
            assert.equal(gateway.slowReaders.usedBytes, 0);
            reader.req.destroy();
        }));

    it("is cut before others that hold less, when the memory is full", () =>
        withGateway(id => id === "id-small" ? 100 : 100_000, true, async ({ gateway, address }) => {
            Object.defineProperty(gateway.memory, "untakenLimitBytes", { get: () => maxUntakenBytes });
            const small = readNothing(address, "id-small");
            await waitFor("the end of the smaller stream", () => ended.has("id-small"), waitMs);
            const large = readNothing(address, "id-large");
            const most = { bytes: 0 };
            const timer = setInterval(() => most.bytes = Math.max(most.bytes, gateway.slowReaders.usedBytes), 1);
            await waitFor("a cut", () => gateway.slowReaders.cutCount > 0, waitMs);
            // The end of a connection is noticed only when it is read.
            large.res!.resume();
            await waitFor("the end of the cut stream", () => large.isClosed, waitMs);
            clearInterval(timer);
            assert.ok(most.bytes <= maxUntakenBytes, `${most.bytes} bytes`);
            assert.deepEqual([large.res!.complete, small.isClosed], [false, false]);
            let received = 0;
            small.res!.on("data", (chunk: Buffer) => received += chunk.length).resume();
            await waitFor("the end of the smaller answer", () => small.isClosed, waitMs);
            assert.ok(received > 100 * eventBytes, `${received} bytes`);
            assert.equal(gateway.slowReaders.usedBytes, 0);
        }));
});

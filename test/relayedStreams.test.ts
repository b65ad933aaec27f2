import assert from "node:assert/strict";
import { request } from "node:http";
import type { Socket } from "node:net";
import { describe, it } from "node:test";
import { ContactState } from "../src/types/contactState";
import { RouteKind } from "../src/types/servingConfig";
import { sleep } from "../src/utils/time";
import { callGateway } from "./fakes/gatewayHarness";
import { withFleet } from "./fakes/relayFleet";
import type { Script } from "./fakes/scriptedUpstream";
import { chunkOf, lastChunk, streamHeadOf } from "./fakes/scriptedUpstream";
import { brokenStream, completeStream, neverAnswer, resumedStream, sseEvents } from "./fakes/upstreamScripts";

const streaming = { kind: RouteKind.Streaming, isResumable: true, maxAttempts: 3 };
const eventCount = 4;
const eventGapMs = 150;
const longVersion = "ü\u2028".repeat(500);
const atOnceMs = 500;

/** Begins a stream and writes no more. */
const silentStream: Script = (socket, { id }) => void socket.write(streamHeadOf(id) + chunkOf(sseEvents(1, 2)));
const silentThenResumed: Script = (socket, req, upstream) => (req.index === 0 ? silentStream : resumedStream)(socket, req, upstream);
/** Writes the events one by one. */
const pacedStream: Script = (socket, { id }) => {
    socket.write(streamHeadOf(id));
    for (let event = 1; event <= eventCount; event++) {
        setTimeout(() => socket.write(chunkOf(sseEvents(event, event)) + (event === eventCount ? lastChunk : "")), event * eventGapMs);
    }
};

describe("streams of a node that is cut off from all upstreams", () => {
    it("come through a peer whole", () =>
        withFleet({ scripts: [completeStream], route: streaming }, async ({ origin }) => {
            const result = await callGateway(origin.address);
            assert.equal(result.body, sseEvents(1, eventCount));
            assert.equal(result.isComplete, true);
        }));

    it("come through a peer event by event", () =>
        withFleet({ scripts: [pacedStream], route: streaming }, async ({ origin }) => {
            const startedAt = performance.now();
            const { body, isComplete } = await callGateway(origin.address, { abortAfterEvents: 1, keepsPart: true });
            assert.ok(performance.now() - startedAt < 2 * eventGapMs + atOnceMs / 2);
            assert.ok(body.startsWith(sseEvents(1, 1)));
            assert.equal(isComplete, false);
        }));

    it("go on through a peer after the last whole event when contact is lost while they are silent", () =>
        withFleet({ scripts: [resumedStream], cutScript: silentStream, route: streaming }, async fleet => {
            const { origin } = fleet;
            origin.setContact(ContactState.Held);
            const result = callGateway(origin.address);
            await sleep(200);
            origin.setContact(ContactState.Lost);
            const { body, isComplete, afterMs } = await result;
            assert.ok(afterMs < 200 + atOnceMs, `${afterMs} ms`);
            assert.equal(body, sseEvents(1, eventCount));
            assert.equal(isComplete, true);
            assert.match(fleet.received[0]?.head ?? "", /^last-event-id: 2$/im);
        }));

    it("go on through a peer when their connections are reset by the cut", () =>
        withFleet({ scripts: [resumedStream], cutScript: brokenStream, route: streaming }, async ({ origin }) => {
            origin.setContact(ContactState.Held);
            const result = callGateway(origin.address);
            origin.setContact(ContactState.Doubted);
            const { body, isComplete } = await result;
            assert.equal(body, sseEvents(1, eventCount));
            assert.equal(isComplete, true);
        }));

    it("go on through a peer at the software version that began them only", () =>
        withFleet(
            { scripts: [completeStream, resumedStream], versions: ["v2", "v1"], cutScript: silentStream, route: streaming },
            async ({ origin, upstreams: [newer, older] }) => {
                origin.setContact(ContactState.Held);
                // Where the stream begins.
                origin.gateway.directory.apply({ id: "up-0", version: 9, server: undefined });
                const result = callGateway(origin.address);
                await sleep(200);
                origin.setContact(ContactState.Lost);
                const { body, isComplete } = await result;
                assert.equal(body, sseEvents(1, eventCount));
                assert.equal(isComplete, true);
                assert.equal(newer!.received.length, 0);
                assert.equal(older!.received.length, 1);
            },
        ));

    it("are cut, and do not look complete, if no upstream of the version that began them is left", () =>
        withFleet(
            { scripts: [completeStream, resumedStream], versions: ["v2", "v1"], cutScript: silentStream, route: streaming },
            async ({ origin, peers: [peer] }) => {
                origin.setContact(ContactState.Held);
                origin.gateway.directory.apply({ id: "up-0", version: 9, server: undefined });
                peer!.gateway.directory.apply({ id: "up-1", version: 9, server: undefined });
                const result = callGateway(origin.address, { keepsPart: true });
                await sleep(200);
                origin.setContact(ContactState.Lost);
                const { body, isComplete } = await result;
                assert.equal(body, sseEvents(1, 2));
                assert.equal(isComplete, false);
            },
        ));

    it("come through a peer whole if the software version has a long name of other letters", () =>
        withFleet(
            { scripts: [brokenStream, resumedStream], versions: [longVersion, longVersion], route: { ...streaming, maxAttempts: 2 } },
            async ({ origin }) => {
                const result = await callGateway(origin.address);
                assert.equal(result.body, sseEvents(1, eventCount));
                assert.equal(result.isComplete, true);
            },
        ));

    it("go on at a peer that learns of their software version only then", () =>
        withFleet({ scripts: [resumedStream], versions: ["v1"], cutScript: silentStream, route: streaming }, async ({ origin, peers: [peer] }) => {
            const { directory, freshness } = peer!.gateway;
            const server = directory.get("up-0")!;
            directory.apply({ id: "up-0", version: 9, server: undefined });
            freshness.follow("servers");
            origin.setContact(ContactState.Held);
            const result = callGateway(origin.address);
            await sleep(200);
            origin.setContact(ContactState.Lost);
            await sleep(300);
            directory.apply({ id: "up-0", version: 10, server });
            const { body, isComplete } = await result;
            assert.equal(body, sseEvents(1, eventCount));
            assert.equal(isComplete, true);
        }));

    it("go on through another peer if the one that relays them ends", () =>
        withFleet({ nodes: 3, scripts: [silentThenResumed], route: streaming }, async fleet => {
            const { origin, peers } = fleet;
            const result = callGateway(origin.address);
            await sleep(200);
            peers.find(({ gateway }) => gateway.peers.takenOver > 0)!.peerServer.close();
            const { body, isComplete } = await result;
            assert.equal(body, sseEvents(1, eventCount));
            assert.equal(isComplete, true);
            assert.equal(fleet.received.length, 2);
        }));

    it("are cut, and do not look complete, if the peer ends and they may not be resumed", () =>
        withFleet({ nodes: 3, scripts: [silentStream], route: { ...streaming, isResumable: false } }, async ({ origin, peers }) => {
            const result = callGateway(origin.address, { keepsPart: true });
            await sleep(200);
            peers.find(({ gateway }) => gateway.peers.takenOver > 0)!.peerServer.close();
            const { body, isComplete } = await result;
            assert.equal(body, sseEvents(1, 2));
            assert.equal(isComplete, false);
        }));

    it("go on at the peer if an upstream breaks one off", () =>
        withFleet({ scripts: [brokenStream, resumedStream], route: streaming }, async ({ origin }) => {
            const { body, isComplete } = await callGateway(origin.address);
            assert.equal(body, sseEvents(1, eventCount));
            assert.equal(isComplete, true);
        }));

    it("go on through a peer if an upstream breaks one off and the peer has no run left", () =>
        withFleet({ scripts: [brokenStream, resumedStream], route: { ...streaming, maxAttempts: 2 } }, async fleet => {
            const result = callGateway(fleet.origin.address);
            const { body, isComplete } = await result;
            assert.equal(body, sseEvents(1, eventCount));
            assert.equal(isComplete, true);
            assert.equal(fleet.received.length, 2);
        }));

    it("are taken up through a peer when their caller comes back", () =>
        withFleet({ scripts: [resumedStream], route: streaming }, async fleet => {
            const { origin } = fleet;
            const { status, body } = await callGateway(origin.address, { headers: { "last-event-id": "2", resumes: "id-0", "attempt-id": "id-1" } });
            assert.equal(status, 200);
            assert.equal(body, sseEvents(3, eventCount));
            assert.match(fleet.received[0]?.head ?? "", /^resumes: id-0$/im);
        }));

    it("stop their upstream when the caller reads slowly", async () => {
        const written: { socket?: Socket; } = {};
        const endless: Script = (socket, { id }) => {
            written.socket = socket;
            socket.write(streamHeadOf(id));
            let event = 0;
            const write = (): void => {
                while (!socket.destroyed && socket.write(chunkOf(`id: ${++event}\ndata: ${"x".repeat(60_000)}\n\n`))) {
                    // Until the connection is full.
                }
                socket.once("drain", write);
            };
            write();
        };
        await withFleet({ scripts: [endless], route: { ...streaming, timeoutMs: 5_000 } }, async ({ origin }) => {
            const [host, port] = origin.address.split(":");
            const req = request({ host, port, method: "POST", path: "/desk/x", headers: { host: "shop.example", "attempt-id": "id-1" }, agent: false });
            req.on("response", res => res.pause());
            req.on("error", () => undefined);
            req.end();
            await sleep(700);
            const before = written.socket!.bytesWritten;
            await sleep(500);
            assert.equal(written.socket!.bytesWritten, before);
            req.destroy();
            await sleep(300);
            assert.equal(written.socket!.destroyed, true);
        });
    });

    it("refuse nothing that a caller has not begun: a silent upstream behind the peer ends with the caller's time", () =>
        withFleet({ scripts: [neverAnswer], route: { ...streaming, maxAttempts: 1 } }, async ({ origin }) => {
            const { status } = await callGateway(origin.address, { headers: { "deadline-ms": "400" } });
            assert.equal(status, 504);
        }));
});

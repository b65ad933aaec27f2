import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { isReady } from "../src/forward/monitoringServers";
import { ContactState } from "../src/types/contactState";
import { EventId } from "../src/types/eventId";
import { FailureKind } from "../src/types/failureKind";
import { MemoryHolder } from "../src/types/memoryHolder";
import { RouteKind } from "../src/types/servingConfig";
import { sleep } from "../src/utils/time";
import { callGateway } from "./fakes/gatewayHarness";
import { withFleet } from "./fakes/relayFleet";
import type { Script } from "./fakes/scriptedUpstream";
import { answerOf } from "./fakes/scriptedUpstream";
import { answer, neverAnswer, reset } from "./fakes/upstreamScripts";

const silentThenAnswer: Script = (socket, req, upstream) => (req.index === 0 ? neverAnswer : answer)(socket, req, upstream);
/** Answers after more silence than a peer is allowed that is not alive. */
const lateAnswer: Script = (socket, req, upstream) => void setTimeout(() => answer(socket, req, upstream), 1_800);
const modelHeaders = { model: "m", "token-count": "10,5", "prompt-prefix": "a:10" };
const idempotent = { kind: RouteKind.Idempotent };

describe("a request that is passed on to a peer", () => {
    it("asks a peer that refused not again for the next requests", () =>
        withFleet({ nodes: 3, scripts: [answer] }, async (fleet, events) => {
            fleet.peers[0]!.setContact(ContactState.Lost);
            for (let count = 0; count < 10; count++) {
                assert.equal((await callGateway(fleet.origin.address)).status, 200);
            }
            assert.ok(events.filter(({ event }) => event === EventId.RelayRefused).length <= 1);
        }));

    it("counts requests for the retry budget, and repeats, where they are decided", () =>
        withFleet({ scripts: [reset, answer], route: { ...idempotent, maxAttempts: 2 } }, async ({ origin, peers: [peer] }) => {
            assert.equal((await callGateway(origin.address)).status, 200);
            assert.equal(origin.gateway.budgetOf("desk").size, 2, "the request, and its repeat through a peer");
            assert.equal(peer!.gateway.budgetOf("desk").size, 0);
        }));

    it("charges a repeat behind the peer to the peer", () =>
        withFleet({ scripts: [reset, answer], route: { ...idempotent, maxAttempts: 3 } }, async ({ origin, peers: [peer] }) => {
            assert.equal((await callGateway(origin.address)).status, 200);
            assert.equal(origin.gateway.budgetOf("desk").size, 1);
            assert.equal(peer!.gateway.budgetOf("desk").size, 1);
        }));

    it("cancels the upstream's work through the peer when the caller leaves", () =>
        withFleet({ scripts: [neverAnswer] }, async ({ origin, peers: [peer], upstreams: [upstream] }) => {
            await callGateway(origin.address, { abortAfterMs: 200 });
            await sleep(300);
            assert.equal(upstream!.received.length, 1);
            assert.equal(upstream!.closedConnections, 1);
            assert.equal(origin.gateway.inProgress, 0);
            assert.equal(peer!.gateway.inProgress, 0);
            assert.equal(peer!.gateway.peers.takenOver, 0);
        }));

    it("ends at the peer when the caller leaves while it waits there for an upstream", () =>
        withFleet({ scripts: [answer] }, async ({ origin, peers: [peer] }) => {
            const { gateway } = peer!;
            gateway.directory.apply({ id: "up-0", version: 9, server: undefined });
            gateway.placement = { ...gateway.placement, place: () => Promise.resolve({ readyInMs: 1_000, isComing: true }) };
            const result = callGateway(origin.address, { headers: modelHeaders, abortAfterMs: 200 });
            await sleep(150);
            assert.equal(gateway.inProgress, 1);
            await result;
            await sleep(300);
            assert.equal(gateway.inProgress, 0);
        }));

    it("counts a request as in progress at both nodes", () =>
        withFleet({ scripts: [neverAnswer] }, async ({ origin, peers: [peer] }) => {
            const result = callGateway(origin.address, { headers: { "deadline-ms": "300" } });
            await sleep(150);
            assert.equal(origin.gateway.inProgress, 1);
            assert.equal(origin.gateway.peers.passedOn, 1);
            assert.equal(peer!.gateway.inProgress, 1);
            assert.equal(peer!.gateway.peers.takenOver, 1);
            await result;
        }));

    it("never passes a request on that a peer passed on, and hands it back if its own path is lost", () =>
        withFleet({ nodes: 3, scripts: [silentThenAnswer], route: idempotent }, async (fleet, events) => {
            const result = callGateway(fleet.origin.address);
            await sleep(100);
            const taker = fleet.peers.find(({ gateway }) => gateway.peers.takenOver > 0)!;
            taker.setContact(ContactState.Lost);
            assert.equal((await result).status, 200);
            const senders = events.filter(({ event }) => event === EventId.RequestTakenOver).map(({ fields }) => fields.node);
            assert.deepEqual(senders, ["n0", "n0"]);
        }));

    it("is lost with the peer if it must run once, and may have run", () =>
        withFleet({ scripts: [answer] }, async fleet => {
            const peer = await fleet.addScriptedPeer(reset);
            assert.equal((await callGateway(fleet.origin.address)).status, 502);
            assert.equal(peer.received.length, 1);
            assert.equal(fleet.received.length, 0);
        }));

    it("is not answered with what a peer sends without saying what it is", () =>
        withFleet({ scripts: [answer] }, async fleet => {
            await fleet.addScriptedPeer((socket, { id }) => void socket.write(answerOf(id, "forged")));
            assert.equal((await callGateway(fleet.origin.address)).status, 502);
        }));

    it("goes to another peer if the first one has no memory for its body, and holds none in the end", () =>
        withFleet({ nodes: 3, scripts: [answer] }, async (fleet, events) => {
            const { memory } = fleet.peers[0]!.gateway;
            memory.charge(MemoryHolder.Bodies, Number.MAX_SAFE_INTEGER);
            const body = "0123456789".repeat(30_000);
            const isRefused = (): boolean => events.some(({ fields }) => fields.kind === FailureKind.MemoryShort);
            let count = 0;
            for (; count === 0 || (!isRefused() && count < 20); count++) {
                assert.equal((await callGateway(fleet.origin.address, { body })).status, 200);
            }
            assert.ok(isRefused());
            assert.deepEqual(fleet.received.map(req => req.body === body), Array(count).fill(true));
            memory.charge(MemoryHolder.Bodies, -Number.MAX_SAFE_INTEGER);
            await sleep(100);
            assert.deepEqual(fleet.nodes.map(node => node.gateway.memory.usedBy(MemoryHolder.Bodies)), [0, 0, 0]);
            assert.deepEqual(fleet.nodes.map(node => node.gateway.answerMemory.used), [0, 0, 0]);
        }));

    it("goes on through another peer if the first one is silent and no longer alive", () =>
        withFleet({ scripts: [answer], route: { ...idempotent, timeoutMs: 6_000 } }, async fleet => {
            const { gateway, address } = fleet.origin;
            const silent = await fleet.addScriptedPeer(neverAnswer);
            const result = callGateway(address, { headers: { "deadline-ms": "6000" } });
            await sleep(100);
            gateway.peers.setPeers([silent.address, fleet.peers[0]!.peerAddress].map(peer => ({ address: peer, zone: "a", cores: 1 })));
            const { status, afterMs } = await result;
            assert.equal(status, 200);
            assert.ok(afterMs < 3_000, `${afterMs} ms`);
        }));

    it("stays with a peer that is alive and waits for its upstream", () =>
        withFleet({ nodes: 3, scripts: [lateAnswer], route: { ...idempotent, timeoutMs: 6_000 } }, async fleet => {
            const { status } = await callGateway(fleet.origin.address, { headers: { ...modelHeaders, "deadline-ms": "6000" } });
            assert.equal(status, 200);
            assert.equal(fleet.received.length, 1);
        }));

    it("is answered, as it may have run, when its node exits before the peer has answered", () =>
        withFleet({ scripts: [neverAnswer] }, async ({ origin, peers: [peer] }) => {
            const result = callGateway(origin.address);
            await sleep(150);
            origin.gateway.attemptsEnd.give();
            assert.equal((await result).status, 502);
            await sleep(150);
            assert.equal(peer!.gateway.inProgress, 0);
        }));

    it("is answered, as it may have run, when the peer exits before its upstream has answered", () =>
        withFleet({ scripts: [neverAnswer] }, async ({ origin, peers: [peer] }) => {
            const result = callGateway(origin.address);
            await sleep(150);
            peer!.gateway.attemptsEnd.give();
            assert.equal((await result).status, 502);
        }));

    it("lets the node say that it is ready, unless no peer takes requests", () =>
        withFleet({ scripts: [answer] }, async ({ origin, peers: [peer] }) => {
            assert.equal((await callGateway(origin.address)).status, 200);
            assert.equal(isReady(origin.gateway), true);
            peer!.setContact(ContactState.Lost);
            for (let count = 0; count < 3; count++) {
                assert.equal((await callGateway(origin.address)).status, 503);
            }
            assert.equal(isReady(origin.gateway), false);
            origin.setContact(ContactState.Held);
            assert.equal(isReady(origin.gateway), true);
        }));
});

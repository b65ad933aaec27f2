import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ContactState } from "../src/types/contactState";
import { EventId } from "../src/types/eventId";
import { RouteKind } from "../src/types/servingConfig";
import { sleep } from "../src/utils/time";
import { callGateway } from "./fakes/gatewayHarness";
import { withFleet } from "./fakes/relayFleet";
import type { Script } from "./fakes/scriptedUpstream";
import { answerOf, startScriptedUpstream } from "./fakes/scriptedUpstream";
import { answer, neverAnswer, reset } from "./fakes/upstreamScripts";

const silentThenAnswer: Script = (socket, req, upstream) => (req.index === 0 ? neverAnswer : answer)(socket, req, upstream);
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

    it("loses a request that must run once with the peer, and says that it may have run", async () => {
        const peer = await startScriptedUpstream(reset);
        await withFleet({ scripts: [answer] }, async fleet => {
            const { origin } = fleet;
            origin.gateway.peers.setPeers([{ address: peer.address, zone: "a", cores: 1 }]);
            const result = await callGateway(origin.address);
            assert.equal(result.status, 502);
            assert.equal(peer.received.length, 1);
            assert.equal(fleet.received.length, 0);
        });
        peer.close();
    });

    it("does not relay what a peer answers without saying what it is", async () => {
        const peer = await startScriptedUpstream((socket, { id }) => void socket.write(answerOf(id, "forged")));
        await withFleet({ scripts: [answer] }, async ({ origin }) => {
            origin.gateway.peers.setPeers([{ address: peer.address, zone: "a", cores: 1 }]);
            assert.equal((await callGateway(origin.address)).status, 502);
        });
        peer.close();
    });
});

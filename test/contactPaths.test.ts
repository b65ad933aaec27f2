import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ContactState } from "../src/types/contactState";
import { RouteKind } from "../src/types/servingConfig";
import { sleep } from "../src/utils/time";
import { callGateway } from "./fakes/gatewayHarness";
import { withFleet } from "./fakes/relayFleet";
import type { Script } from "./fakes/scriptedUpstream";
import { answer } from "./fakes/upstreamScripts";

/** A request is on its new path, and answered, within this time. */
const atOnceMs = 500;
const modelHeaders = { model: "m", "token-count": "10,5", "prompt-prefix": "a:10" };
const idempotent = { kind: RouteKind.Idempotent };

/** What a node does with a caller's request, by what it believes of its path. */
const contactCases = [
    { state: ContactState.Held, kind: RouteKind.NonIdempotent, isDirect: true },
    { state: ContactState.Held, kind: RouteKind.Idempotent, isDirect: true },
    { state: ContactState.Doubted, kind: RouteKind.NonIdempotent, isDirect: false },
    { state: ContactState.Doubted, kind: RouteKind.Idempotent, isDirect: true },
    { state: ContactState.Lost, kind: RouteKind.NonIdempotent, isDirect: false },
    { state: ContactState.Lost, kind: RouteKind.Idempotent, isDirect: false },
];

/** Answers after the time in which a request leaves an upstream once contact is lost. */
const lateAnswer: Script = (socket, req, upstream) => void setTimeout(() => answer(socket, req, upstream), 900);

describe("the path of a request", () => {
    for (const { state, kind, isDirect } of contactCases) {
        it(`is ${isDirect ? "direct" : "through a peer"} if contact is ${state} and the route ${kind}`, () =>
            withFleet({ scripts: [answer], cutScript: answer, route: { kind } }, async ({ origin, cutUpstream, upstreams: [upstream] }) => {
                origin.setContact(state);
                assert.equal((await callGateway(origin.address)).status, 200);
                assert.equal(cutUpstream.received.length, isDirect ? 1 : 0);
                assert.equal(upstream!.received.length, isDirect ? 0 : 1);
            }));
    }

    it("is direct in doubt if no peer takes the request", () =>
        withFleet({ scripts: [answer], cutScript: answer }, async ({ origin, peers: [peer], cutUpstream }) => {
            origin.setContact(ContactState.Doubted);
            peer!.setContact(ContactState.Doubted);
            assert.equal((await callGateway(origin.address)).status, 200);
            assert.equal(cutUpstream.received.length, 1);
        }));

    it("leads through a peer once contact is lost while an upstream is silent", () =>
        withFleet({ scripts: [answer], route: idempotent }, async ({ origin, cutUpstream }) => {
            origin.setContact(ContactState.Held);
            const result = callGateway(origin.address, { headers: modelHeaders });
            await sleep(200);
            origin.setContact(ContactState.Lost);
            const { status, afterMs } = await result;
            assert.equal(status, 200);
            assert.equal(cutUpstream.received.length, 1);
            assert.ok(afterMs < 200 + atOnceMs, `${afterMs} ms`);
        }));

    it("stays direct for a request that was sent while no peer reaches upstreams either", () =>
        withFleet({ nodes: 3, scripts: [answer], route: idempotent, cutScript: lateAnswer }, async ({ nodes, origin, cutUpstream, upstreams: [upstream] }) => {
            origin.setContact(ContactState.Held);
            const result = callGateway(origin.address, { headers: modelHeaders });
            await sleep(200);
            nodes.forEach(node => node.setContact(ContactState.Lost));
            const { status } = await result;
            assert.equal(status, 200);
            assert.equal(cutUpstream.received.length, 1);
            assert.equal(upstream!.received.length, 0);
        }));

    it("stays direct for a request that must run once and may have been sent", () =>
        withFleet({ scripts: [answer] }, async ({ origin, upstreams: [upstream] }) => {
            origin.setContact(ContactState.Held);
            const result = callGateway(origin.address, { headers: { "deadline-ms": "600" } });
            await sleep(200);
            origin.setContact(ContactState.Lost);
            assert.equal((await result).status, 504);
            assert.equal(upstream!.received.length, 0);
        }));

    it("leads through a peer in doubt once an attempt was not sent", () =>
        withFleet({ scripts: [answer], route: idempotent }, async ({ origin, cutUpstream }) => {
            cutUpstream.close();
            origin.setContact(ContactState.Doubted);
            assert.equal((await callGateway(origin.address)).status, 200);
        }));

    it("leads through a peer once contact is lost while a request waits for an upstream", () =>
        withFleet({ scripts: [answer] }, async ({ origin }) => {
            origin.setContact(ContactState.Held);
            origin.gateway.directory.apply({ id: "up-0", version: 9, server: undefined });
            origin.gateway.placement = { ...origin.gateway.placement, place: () => Promise.resolve({ readyInMs: 1_000, isComing: true }) };
            const result = callGateway(origin.address, { headers: modelHeaders });
            await sleep(200);
            origin.setContact(ContactState.Lost);
            const { status, afterMs } = await result;
            assert.equal(status, 200);
            assert.ok(afterMs < 200 + atOnceMs, `${afterMs} ms`);
        }));
});

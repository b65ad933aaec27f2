import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { contactQuestion, decodeReport, encodeRelayed, relayHeader, relayReportHeader } from "../src/forward/relayHeaders";
import { ContactState } from "../src/types/contactState";
import { EventId } from "../src/types/eventId";
import { FailureKind } from "../src/types/failureKind";
import type { RelayedRequest } from "../src/types/relayedRequest";
import { RelayRefusal } from "../src/types/relayRefusal";
import type { HeaderMap } from "../src/types/requestHeaderCodec";
import { Verdict } from "../src/types/verdict";
import { callGateway } from "./fakes/gatewayHarness";
import type { RelayNode } from "./fakes/relayFleet";
import { withFleet } from "./fakes/relayFleet";
import { answer, neverAnswer } from "./fakes/upstreamScripts";

const relayed: RelayedRequest = { node: "stranger", elapsedMs: 0, remainingMs: 1_000, configVersion: 1, service: "desk", maxRuns: 1 };
const headersOf = (changes: Partial<Record<keyof RelayedRequest, unknown>> = {}): Readonly<Record<string, string>> =>
    Object.fromEntries([encodeRelayed({ ...relayed, ...changes } as RelayedRequest)]);

/** A header that no node sends. */
const malformedCases: readonly { readonly name: string; readonly value: string; }[] = [
    { name: "no JSON", value: "{" },
    { name: "a list", value: "[]" },
    { name: "null", value: "null" },
    { name: "a negative time", value: headersOf({ remainingMs: -1 })[relayHeader]! },
    { name: "a time that is no number", value: headersOf({ remainingMs: "5" })[relayHeader]! },
    { name: "no runs", value: headersOf({ maxRuns: 0 })[relayHeader]! },
    { name: "a very long name", value: headersOf({ service: "x".repeat(2_000) })[relayHeader]! },
    { name: "a missing version", value: headersOf({ configVersion: undefined })[relayHeader]! },
];

describe("requests that are passed on to a node", () => {
    it("are served if a known node sends them", () =>
        withFleet({ scripts: [answer] }, async fleet => {
            const { peers: [peer] } = fleet;
            const result = await callGateway(peer!.peerAddress, { headers: headersOf() });
            assert.equal(result.status, 200);
            assert.equal(fleet.received.length, 1);
            const report = decodeReport(result.headers as HeaderMap);
            assert.deepEqual(report, { verdict: Verdict.Ran, sends: 1, runs: 1, upstream: "up-0", softwareVersion: "" });
        }));

    it("are refused as not run if a stranger sends them", () =>
        withFleet({ scripts: [answer] }, async ({ peers: [peer], upstreams: [upstream] }, events) => {
            const result = await callGateway(peer!.peerAddress, { headers: headersOf(), localAddress: "127.0.0.98" });
            assert.equal(result.status, 503);
            assert.equal(upstream!.received.length, 0);
            const report = decodeReport(result.headers as HeaderMap);
            assert.deepEqual(report?.failure, { kind: FailureKind.RelayRefused, detail: RelayRefusal.UnknownSender });
            assert.equal(report?.verdict, Verdict.NotRun);
            assert.deepEqual(events.filter(({ event }) => event === EventId.RelayRefused).map(({ fields }) => fields.count), [1]);
        }));

    const questions: readonly {
        readonly name: string;
        readonly prepare?: (peer: RelayNode) => void;
        readonly localAddress?: string;
        readonly status: number;
    }[] = [
        { name: "reaches upstreams", status: 200 },
        { name: "is in doubt", prepare: peer => peer.setContact(ContactState.Doubted), status: 503 },
        { name: "has lost its path", prepare: peer => peer.setContact(ContactState.Lost), status: 503 },
        { name: "is stopping", prepare: peer => peer.stop(8_000), status: 503 },
        { name: "is asked by a stranger", localAddress: "127.0.0.98", status: 503 },
    ];
    for (const { name, prepare, localAddress, status } of questions) {
        it(`may be announced by a question, which runs nothing: the node ${name}`, () =>
            withFleet({ scripts: [answer] }, async ({ peers: [peer], upstreams: [upstream] }) => {
                prepare?.(peer!);
                const result = await callGateway(peer!.peerAddress, { headers: { [relayHeader]: contactQuestion }, localAddress });
                assert.equal(result.status, status);
                assert.equal(upstream!.received.length, 0);
            }));
    }

    for (const { name, value } of malformedCases) {
        it(`are refused as not run if their header has ${name}`, () =>
            withFleet({ scripts: [answer] }, async ({ peers: [peer], upstreams: [upstream] }, events) => {
                const { status } = await callGateway(peer!.peerAddress, { headers: { [relayHeader]: value } });
                assert.equal(status, 503);
                assert.equal(upstream!.received.length, 0);
                assert.equal(events.find(({ event }) => event === EventId.RelayRefused)?.fields.reason, RelayRefusal.Malformed);
            }));
    }

    it("get no service that their route does not lead to", () =>
        withFleet({ scripts: [answer] }, async ({ peers: [peer] }, events) => {
            assert.equal((await callGateway(peer!.peerAddress, { headers: headersOf({ service: "vault" }) })).status, 200);
            assert.equal(events.find(({ event }) => event === EventId.RequestAnswered)?.fields.upstream, "up-0");
        }));

    it("get no more time than their route allows", () =>
        withFleet({ scripts: [neverAnswer], route: { timeoutMs: 300 } }, async ({ peers: [peer] }) => {
            const { status, afterMs } = await callGateway(peer!.peerAddress, { headers: headersOf({ remainingMs: 60_000 }) });
            assert.equal(status, 504);
            assert.ok(afterMs < 1_000, `${afterMs} ms`);
        }));

    it("are told from callers' requests, which cannot claim to be passed on", () =>
        withFleet({ scripts: [answer] }, async (fleet, events) => {
            const { peers: [peer] } = fleet;
            const result = await callGateway(peer!.address, { headers: { ...headersOf({ maxRuns: 1 }), [relayReportHeader]: "{}" } });
            assert.equal(result.status, 200);
            assert.equal(result.headers[relayReportHeader], undefined);
            assert.equal(peer!.gateway.budgetOf("desk").size, 1);
            assert.doesNotMatch(fleet.received[0]!.head, /jackdawtrail/i);
            assert.ok(events.every(({ event }) => event !== EventId.RequestTakenOver));
        }));

    it("leave the calls of peers at that port alone", () =>
        withFleet({ scripts: [answer] }, async ({ peers: [peer] }) => {
            const { status } = await callGateway(peer!.peerAddress, { path: "/exchange", headers: { "content-type": "application/json" }, body: "{}" });
            assert.equal(status, 400);
        }));
});

import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { declaredKeyDigest } from "../src/core/customerTable";
import { decodeRelayed, encodeRelayed, relayHeader } from "../src/forward/relayHeaders";
import type { CustomerSpec } from "../src/types/customer";
import { EventId } from "../src/types/eventId";
import { FailureKind } from "../src/types/failureKind";
import type { RelayedRequest } from "../src/types/relayedRequest";
import type { HeaderMap } from "../src/types/requestHeaderCodec";
import { applyCustomers, confirmByStore, requireConfirmation } from "./fakes/customers";
import { callGateway } from "./fakes/gatewayHarness";
import type { RelayFleet } from "./fakes/relayFleet";
import { withFleet } from "./fakes/relayFleet";
import type { ReceivedRequest } from "./fakes/scriptedUpstream";
import { answer } from "./fakes/upstreamScripts";

const customers: readonly CustomerSpec[] = [{ name: "acme", apiKeys: ["k-acme"] }];
const headers = { "x-api-key": "k-acme", "tenant": "forged" };
const headerOf = (head: string, name: string): string | undefined => new RegExp(`^${name}: (.*)$`, "im").exec(head)?.[1]?.trim();
const customerHeadersOf = ({ head }: ReceivedRequest): readonly (string | undefined)[] => [headerOf(head, "tenant"), headerOf(head, "x-api-key")];
const declareAll = ({ nodes }: RelayFleet): void =>
    nodes.forEach(({ gateway }) => {
        applyCustomers(gateway, customers);
        requireConfirmation(gateway);
        confirmByStore(gateway);
    });

describe("a request with a key that a peer carries", () => {
    interface Case {
        readonly name: string;
        readonly nodes?: number;
        readonly prepare?: (fleet: RelayFleet) => void;
        readonly status: number;
        readonly tenant?: string;
    }
    const cases: readonly Case[] = [
        { name: "names the customer to the upstream", status: 200, tenant: "acme" },
        {
            name: "names the customer by the table of the peer, not by what was passed on",
            prepare: ({ peers: [peer] }) => {
                applyCustomers(peer!.gateway, [{ name: "renamed", apiKeys: ["k-acme"] }]);
            },
            status: 200,
            tenant: "renamed",
        },
        {
            name: "is refused for good if the peer knows that the key was withdrawn",
            prepare: ({ peers: [peer] }) => {
                applyCustomers(peer!.gateway, []);
                confirmByStore(peer!.gateway);
            },
            status: 401,
        },
        {
            name: "goes to another peer if the first one's configuration is too old",
            nodes: 3,
            prepare: ({ peers: [first] }) => requireConfirmation(first!.gateway, 1),
            status: 200,
            tenant: "acme",
        },
        {
            name: "is refused as not run if no peer's configuration is young enough",
            nodes: 3,
            prepare: ({ peers }) => peers.forEach(({ gateway }) => requireConfirmation(gateway, 1)),
            status: 503,
        },
        {
            name: "is not passed on if the configuration of its own node is too old",
            prepare: ({ origin }) => requireConfirmation(origin.gateway, 1),
            status: 503,
        },
    ];
    for (const { name, nodes, prepare, status, tenant } of cases) {
        it(name, () =>
            withFleet({ nodes, scripts: [answer] }, async fleet => {
                declareAll(fleet);
                prepare?.(fleet);
                const result = await callGateway(fleet.origin.address, { headers });
                assert.equal(result.status, status);
                assert.deepEqual(fleet.received.map(customerHeadersOf), status === 200 ? [[tenant, undefined]] : []);
            }));
    }

    it("reaches the peer with the customer's name, which the last release passes on, and with a digest instead of the key", () =>
        withFleet({ scripts: [answer] }, async fleet => {
            declareAll(fleet);
            const peer = await fleet.addScriptedPeer(answer);
            await callGateway(fleet.origin.address, { headers });
            const { head } = peer.received[0]!;
            assert.deepEqual(customerHeadersOf(peer.received[0]!), ["acme", undefined]);
            assert.equal(decodeRelayed({ [relayHeader]: headerOf(head, relayHeader) } satisfies HeaderMap)?.keyDigest, declaredKeyDigest("k-acme"));
            assert.doesNotMatch(head, /k-acme|forged/);
        }));

    it("reaches the peer as it came where no customers are declared", () =>
        withFleet({ scripts: [answer] }, async fleet => {
            const peer = await fleet.addScriptedPeer(answer);
            await callGateway(fleet.origin.address, { headers });
            assert.deepEqual(customerHeadersOf(peer.received[0]!), ["forged", "k-acme"]);
            assert.doesNotMatch(peer.received[0]!.head, /keyDigest/);
        }));

    const relayed: RelayedRequest = { node: "n", elapsedMs: 0, remainingMs: 1_000, configVersion: 1, service: "desk", maxRuns: 1 };
    const senderCases: readonly {
        readonly name: string;
        readonly sent: Readonly<Record<string, string>>;
        readonly digest?: string;
        readonly status: number;
    }[] = [
        { name: "is checked by its key if a node of the last release passes it on", sent: { "x-api-key": "k-acme", "tenant": "forged" }, status: 200 },
        { name: "needs a key also if a node of the last release passes it on", sent: { tenant: "acme" }, status: 401 },
        { name: "needs a known digest", sent: { tenant: "acme" }, digest: declaredKeyDigest("k-other"), status: 401 },
    ];
    for (const { name, sent, digest, status } of senderCases) {
        it(name, () =>
            withFleet({ scripts: [answer] }, async (fleet, events) => {
                declareAll(fleet);
                const relayHeaders = Object.fromEntries([encodeRelayed({ ...relayed, keyDigest: digest })]);
                const result = await callGateway(fleet.peers[0]!.peerAddress, { headers: { ...sent, ...relayHeaders } });
                assert.equal(result.status, status);
                assert.deepEqual(fleet.received.map(customerHeadersOf), status === 200 ? [["acme", undefined]] : []);
                assert.deepEqual(events.filter(({ fields }) => /[0-9a-f]{64}/.test(JSON.stringify(fields))), [], "no digest in the log");
            }));
    }

    it("is refused with a kind that nodes of the last release know, so that they see that it has not run", () =>
        withFleet({ scripts: [answer] }, async (fleet, events) => {
            declareAll(fleet);
            requireConfirmation(fleet.peers[0]!.gateway, 1);
            const relayHeaders = Object.fromEntries([encodeRelayed({ ...relayed, keyDigest: declaredKeyDigest("k-acme") })]);
            const { status, headers: answered } = await callGateway(fleet.peers[0]!.peerAddress, { headers: relayHeaders });
            assert.equal(status, 503);
            assert.match(String(answered["jackdawtrail-relay-report"]), new RegExp(`"kind":"${FailureKind.NotReady}"`));
            assert.ok(events.some(({ event }) => event === EventId.KeyUnconfirmed));
        }));
});

import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { sentKeyDigest } from "../src/core/customerTable";
import { decodeRelayed, encodeRelayed, relayHeader } from "../src/forward/relayHeaders";
import type { CustomerSpec, UsageLimit } from "../src/types/customer";
import { UsageUnit } from "../src/types/customer";
import { EventId } from "../src/types/eventId";
import type { UsageAnswer } from "../src/types/usageAnswer";
import type { UsageCharge } from "../src/types/usageCharge";
import { UsageOutcome } from "../src/types/usageOutcome";
import type { CallerRequest } from "./fakes/gatewayHarness";
import { callGateway } from "./fakes/gatewayHarness";
import type { LoggedEvent, RelayFleet, RelayFleetOptions } from "./fakes/relayFleet";
import { withFleet } from "./fakes/relayFleet";
import { answer, answerWithError, neverAnswer, refuse, reset } from "./fakes/upstreamScripts";

const limit: UsageLimit = { unit: UsageUnit.Tokens, perSecond: 100, burst: 1_000, plainTokens: 70 };
const customers: readonly CustomerSpec[] = [
    { name: "acme", apiKeys: ["k-acme"], limit },
    { name: "counted", apiKeys: ["k-counted"], limit: { ...limit, unit: UsageUnit.Requests } },
    { name: "free", apiKeys: ["k-free"] },
];
const admitted: UsageAnswer = { outcome: UsageOutcome.Admitted, node: "127.0.0.1:1", bucket: "b" };

/** What the nodes of a fleet charged and returned. */
interface Charges {
    readonly charged: (readonly [node: string, customer: string, units: number])[];
    readonly returned: number[];
}

/** Lets the nodes of a fleet record their charges, and answer each in the same way. */
const recordCharges = (fleet: RelayFleet, result: UsageAnswer, afterMs = 0): Charges => {
    const charges: Charges = { charged: [], returned: [] };
    for (const { gateway } of fleet.nodes) {
        const chargeUsage = async ({ customer, units }: UsageCharge): Promise<UsageAnswer> => {
            charges.charged.push([gateway.settings.nodeId, customer, units]);
            await new Promise(resolve => setTimeout(resolve, afterMs));
            return result;
        };
        gateway.placement = { ...gateway.placement, chargeUsage, returnUsage: ({ units }) => void charges.returned.push(units) };
    }
    return charges;
};

interface Case extends RelayFleetOptions {
    readonly name: string;
    readonly key?: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly call?: CallerRequest;
    readonly result?: UsageAnswer;
    readonly resultAfterMs?: number;
    readonly status: number | undefined;
    readonly charged: Charges["charged"];
    readonly returned?: readonly number[];
    /** Requests that upstreams received. */
    readonly received: number;
    readonly check?: (headers: Readonly<Record<string, unknown>>, events: readonly LoggedEvent[]) => void;
}

const tokens = { "token-count": "150,40" };
const one: Charges["charged"] = [["n0", "acme", 190]];

const cases: readonly Case[] = [
    { name: "is charged for the tokens that it states", scripts: [answer], headers: tokens, status: 200, charged: one, received: 1 },
    { name: "is charged for the tokens of a plain request", scripts: [answer], status: 200, charged: [["n0", "acme", 70]], received: 1 },
    {
        name: "is charged as plain if its tokens cannot be read",
        scripts: [answer],
        headers: { "token-count": "a,-4" },
        status: 200,
        charged: [["n0", "acme", 70]],
        received: 1,
    },
    {
        name: "is charged as one where requests are counted",
        scripts: [answer],
        key: "k-counted",
        headers: tokens,
        status: 200,
        charged: [["n0", "counted", 1]],
        received: 1,
    },
    { name: "is not charged without a limit", scripts: [answer], key: "k-free", headers: tokens, status: 200, charged: [], received: 1 },
    { name: "is not charged on a public route", scripts: [answer], route: { isPublic: true }, headers: tokens, status: 200, charged: [], received: 1 },
    { name: "is not charged where no customers are declared", scripts: [answer], customers: undefined, headers: tokens, status: 200, charged: [], received: 1 },
    {
        name: "is refused with 429 and a time beyond the limit",
        scripts: [answer],
        headers: tokens,
        result: { outcome: UsageOutcome.Refused, retryAfterMs: 1_230 },
        status: 429,
        charged: one,
        received: 0,
        check: (headers, events) => {
            assert.equal(headers["retry-after"], "1.23");
            const line = events.find(({ event }) => event === EventId.UsageRefused);
            assert.deepEqual([line?.fields.customer, line?.fields.units, line?.fields.configVersion], ["acme", 190, 1]);
        },
    },
    {
        name: "is refused with 503 where nothing is known of the limit",
        scripts: [answer],
        headers: tokens,
        result: { outcome: UsageOutcome.Unknown },
        status: 503,
        charged: one,
        received: 0,
        check: headers => assert.ok(Number(headers["retry-after"]) > 0),
    },
    { name: "is returned if upstreams refuse it", scripts: [refuse], headers: tokens, status: 503, charged: one, returned: [190], received: 1 },
    { name: "is charged once if a second upstream runs it", scripts: [refuse, answer], headers: tokens, status: 200, charged: one, received: 2 },
    { name: "is not returned if it may have run", scripts: [reset], headers: tokens, status: 502, charged: one, received: 1 },
    { name: "is not returned if it ran and failed", scripts: [answerWithError], headers: tokens, status: 500, charged: one, received: 1 },
    {
        name: "is not returned if its caller left while it ran",
        scripts: [neverAnswer],
        headers: tokens,
        call: { abortAfterMs: 200 },
        status: undefined,
        charged: one,
        received: 1,
    },
    {
        name: "is returned if its caller left before it was admitted",
        scripts: [answer],
        headers: tokens,
        call: { abortAfterMs: 100 },
        resultAfterMs: 300,
        status: undefined,
        charged: one,
        returned: [190],
        received: 0,
    },
    {
        name: "is charged once, at the node that read it, if a peer forwards it",
        scripts: [answer],
        isOriginHeld: false,
        headers: tokens,
        status: 200,
        charged: one,
        received: 1,
    },
    {
        name: "is returned by that node if upstreams refuse it to the peer",
        scripts: [refuse],
        isOriginHeld: false,
        headers: tokens,
        status: 503,
        charged: one,
        returned: [190],
        received: 1,
    },
];

/** Guards against requests that are not charged, charged twice, or still charged though they did not run. */
describe("usage of a forwarded request", () => {
    for (
        const { name, key = "k-acme", headers, call, result = admitted, resultAfterMs = 0, status, charged, returned = [], received, check, ...options }
            of cases
    ) {
        it(name, () =>
            withFleet({ customers, isOriginHeld: true, ...options }, async (fleet, events) => {
                const charges = recordCharges(fleet, result, resultAfterMs);
                const response = await callGateway(fleet.origin.address, { headers: { "x-api-key": key, ...headers }, ...call });
                await new Promise(resolve => setTimeout(resolve, 100 + resultAfterMs));
                assert.equal(response.status, status, response.body);
                assert.deepEqual(charges, { charged, returned });
                assert.equal(fleet.received.length, received);
                check?.(response.headers, events);
            }));
    }

    /** Guards against use that nobody counts: a node of the last release charges nothing, and does not say that it did. */
    it("is charged at the peer if a node of the last release passes it on", () =>
        withFleet({ customers, isOriginHeld: true, scripts: [answer] }, async fleet => {
            const charges = recordCharges(fleet, admitted);
            const peer = fleet.peers[0]!;
            const keyDigest = sentKeyDigest("k-acme");
            const relayed = { node: "n0", elapsedMs: 1, remainingMs: 1_000, configVersion: 1, service: "desk", maxRuns: 1, keyDigest };
            const send = (more: object): Promise<unknown> =>
                callGateway(peer.peerAddress, { headers: Object.fromEntries([encodeRelayed({ ...relayed, ...more }), ["token-count", "150,40"]]) });
            await send({});
            await send({ isUsageCharged: true });
            assert.deepEqual(charges.charged, [["n1", "acme", 190]]);
            assert.equal(fleet.received.length, 2);
        }));

    it("is said to be charged in a form that the last release ignores", () => {
        const relayed = { node: "n0", elapsedMs: 1, remainingMs: 1_000, configVersion: 1, service: "desk", maxRuns: 1, isUsageCharged: true };
        const [name, value] = encodeRelayed(relayed);
        assert.equal(name, relayHeader);
        assert.equal(decodeRelayed({ [name]: value })?.isUsageCharged, true);
    });
});

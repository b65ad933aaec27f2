import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import type { CustomerSpec } from "../src/types/customer";
import { EventId } from "../src/types/eventId";
import type { ServiceRoute } from "../src/types/servingConfig";
import { RouteKind } from "../src/types/servingConfig";
import { observeEvents, setupLogs } from "../src/utils/events";
import { applyCustomers, confirmByStore } from "./fakes/customers";
import { callGateway, startGateway } from "./fakes/gatewayHarness";
import { KeptConnection } from "./fakes/keptConnection";
import type { Script, ScriptedUpstream } from "./fakes/scriptedUpstream";
import { startScriptedUpstream } from "./fakes/scriptedUpstream";
import { answer, brokenStream, refuse, resumedStream } from "./fakes/upstreamScripts";

const customers: readonly CustomerSpec[] = [
    { name: "acme", apiKeys: ["k-acme-1", "k-acme-2"], priority: 0 },
    { name: "bolt", apiKeys: ["k-bolt"], priority: 1 },
];

type SentHeaders = Readonly<Record<string, string>>;
const repeatedKey = { "x-api-key": ["k-acme-1", "k-acme-1"] } as unknown as SentHeaders;

const headerOf = (head: string, name: string): string | undefined => new RegExp(`^${name}: (.*)$`, "im").exec(head)?.[1]?.trim();

describe("requests where customers are declared", () => {
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));

    interface Case {
        /** The failure that the case guards against. */
        readonly name: string;
        readonly headers?: SentHeaders;
        readonly path?: string;
        readonly route?: Partial<ServiceRoute>;
        /** Undefined if the configuration declares none. */
        readonly customers?: readonly CustomerSpec[] | undefined;
        readonly isUnconfirmed?: boolean;
        readonly status: number;
        /** `Tenant` and `X-Api-Key` as the upstream received them. */
        readonly tenant?: string;
        readonly key?: string;
    }
    const cases: readonly Case[] = [
        { name: "name the customer of a key to the upstream, and not the key", headers: { "x-api-key": "k-acme-1" }, status: 200, tenant: "acme" },
        { name: "name the customer of its second key", headers: { "x-api-key": "k-acme-2" }, status: 200, tenant: "acme" },
        {
            name: "do not name the customer that a caller claims to be",
            headers: { "x-api-key": "k-bolt", "tenant": "acme" },
            status: 200,
            tenant: "bolt",
        },
        { name: "do not get by with a claim alone", headers: { tenant: "acme" }, status: 401 },
        { name: "are refused with an unknown key", headers: { "x-api-key": "k-other" }, status: 401 },
        { name: "are refused without a key", status: 401 },
        { name: "are refused with an empty key", headers: { "x-api-key": "" }, status: 401 },
        { name: "are refused with a repeated key, even one that is known", headers: repeatedKey, status: 401 },
        { name: "are refused with a list of known keys", headers: { "x-api-key": "k-acme-1, k-acme-2" }, status: 401 },
        { name: "are refused with a key in other letter case", headers: { "x-api-key": "K-ACME-1" }, status: 401 },
        { name: "are all refused if the list of customers is empty", customers: [], headers: { "x-api-key": "k-acme-1" }, status: 401 },
        { name: "get 404 without a route, whatever their key", path: "/none/x", status: 404 },
        {
            name: "with an unknown key may come again if another node may know the key by now",
            headers: { "x-api-key": "k-new" },
            isUnconfirmed: true,
            status: 503,
        },
        { name: "without a key are refused for good by an unconfirmed configuration as well", isUnconfirmed: true, status: 401 },
        { name: "need no key on a public route", route: { isPublic: true }, status: 200 },
        {
            name: "name neither key nor customer on a public route",
            route: { isPublic: true },
            headers: { "x-api-key": "k-acme-1", "tenant": "acme" },
            status: 200,
        },
        {
            name: "are forwarded as they came where none are declared",
            customers: undefined,
            headers: { "x-api-key": "k-other", "tenant": "me" },
            status: 200,
            tenant: "me",
            key: "k-other",
        },
    ];
    for (const { name, headers, path, route, isUnconfirmed = false, status, tenant, key, ...rest } of cases) {
        it(name, async () => {
            const upstream = await startScriptedUpstream(answer);
            const node = await startGateway([upstream.address], route);
            try {
                applyCustomers(node.gateway, "customers" in rest ? rest.customers : customers);
                if (!isUnconfirmed) {
                    confirmByStore(node.gateway);
                }
                const result = await callGateway(node.address, { headers, path });
                assert.equal(result.status, status);
                assert.equal(upstream.received.length, status === 200 ? 1 : 0);
                const head = upstream.received[0]?.head ?? "";
                assert.deepEqual([headerOf(head, "tenant"), headerOf(head, "x-api-key")], [tenant, key]);
                assert.equal(status === 503, result.headers["retry-after"] !== undefined, "Retry-After");
            }
            finally {
                node.close();
                upstream.close();
            }
        });
    }

    it("are forwarded with the same headers as ever where none are declared, in the same order", async () => {
        const upstream = await startScriptedUpstream(answer);
        const node = await startGateway([upstream.address]);
        try {
            await callGateway(node.address, { headers: { "a": "1", "x-api-key": "k", "b": "2", "tenant": "t", "model": "m" } });
            const names = upstream.received[0]!.head.split("\r\n").slice(1).map(line => line.slice(0, line.indexOf(":")).toLowerCase());
            assert.deepEqual(names.filter(text => ["a", "x-api-key", "b", "tenant", "model"].includes(text)), ["a", "x-api-key", "b", "tenant", "model"]);
            assert.equal(headerOf(upstream.received[0]!.head, "request-priority"), "4");
        }
        finally {
            node.close();
            upstream.close();
        }
    });

    const connectionCases: readonly { readonly name: string; readonly isPipelined: boolean; }[] = [
        { name: "are checked one by one on a kept connection", isPipelined: false },
        { name: "are checked one by one if they are pipelined", isPipelined: true },
    ];
    for (const { name, isPipelined } of connectionCases) {
        it(name, async () => {
            const upstream = await startScriptedUpstream(answer);
            const node = await startGateway([upstream.address]);
            applyCustomers(node.gateway, customers);
            confirmByStore(node.gateway);
            const connection = await KeptConnection.open(node.address);
            try {
                const requests = [{ id: "a", key: "k-acme-1" }, { id: "b", key: "k-other" }, { id: "c", key: undefined }, { id: "d", key: "k-bolt" }];
                if (isPipelined) {
                    connection.sendKeyed(...requests);
                }
                for (const [index, req] of requests.entries()) {
                    if (!isPipelined) {
                        connection.sendKeyed(req);
                    }
                    await connection.waitForAnswers(index + 1);
                }
                assert.deepEqual(connection.statuses, [200, 401, 401, 200]);
                assert.deepEqual(upstream.received.map(({ id, head }) => [id, headerOf(head, "tenant")]), [["a", "acme"], ["d", "bolt"]]);
            }
            finally {
                connection.close();
                node.close();
                upstream.close();
            }
        });
    }

    const repeatedCases: readonly { readonly name: string; readonly scripts: readonly Script[]; readonly route: Partial<ServiceRoute>; }[] = [
        { name: "name the customer with each retry", scripts: [refuse, answer], route: { kind: RouteKind.Idempotent, maxAttempts: 2 } },
        {
            name: "name the customer when a stream is resumed",
            scripts: [brokenStream, resumedStream],
            route: { kind: RouteKind.Streaming, isResumable: true, maxAttempts: 2 },
        },
    ];
    for (const { name, scripts, route } of repeatedCases) {
        it(name, async () => {
            const upstreams: readonly ScriptedUpstream[] = await Promise.all(scripts.map(script => startScriptedUpstream(script)));
            const node = await startGateway(upstreams.map(({ address }) => address), route);
            [...scripts.keys()].forEach(index => node.gateway.trafficOf(`up-${index}`).onFirstByte(20 + 20 * index));
            applyCustomers(node.gateway, customers);
            confirmByStore(node.gateway);
            const result = await callGateway(node.address, { headers: { "x-api-key": "k-bolt" } });
            node.close();
            upstreams.forEach(upstream => upstream.close());
            assert.equal(result.status, 200);
            const heads = upstreams.flatMap(({ received }) => received.map(({ head }) => [headerOf(head, "tenant"), headerOf(head, "x-api-key")]));
            assert.deepEqual(heads, [["bolt", undefined], ["bolt", undefined]]);
        });
    }

    it("leave no trace of a key or its digest in the log", async () => {
        const upstream = await startScriptedUpstream(answer);
        const node = await startGateway([upstream.address]);
        const lines: string[] = [];
        const stop = observeEvents((event, fields) => lines.push(JSON.stringify([EventId[event], fields])));
        applyCustomers(node.gateway, customers);
        confirmByStore(node.gateway);
        for (const key of ["k-bolt", "k-other"]) {
            await callGateway(node.address, { headers: { "x-api-key": key } });
        }
        stop();
        node.close();
        upstream.close();
        assert.ok(lines.some(line => line.includes("KeyRefused")), "a line on the refusal");
        assert.deepEqual(lines.filter(line => /k-bolt|k-other|[0-9a-f]{64}/.test(line)), []);
    });
});

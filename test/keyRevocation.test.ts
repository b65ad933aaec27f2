import { install } from "@sinonjs/fake-timers";
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { MonitoredStore } from "../src/core/monitoredStore";
import { TableFollower } from "../src/core/tableFollower";
import { Gateway } from "../src/forward/gateway";
import { isReady } from "../src/forward/monitoringServers";
import { createConfigObserver } from "../src/forward/storeObservers";
import { decodeConfig } from "../src/platform/configDecoder";
import { requestHeaderCodec } from "../src/platform/requestHeaderCodec";
import type { CustomerSpec } from "../src/types/customer";
import type { ServiceRoute } from "../src/types/servingConfig";
import { RouteKind } from "../src/types/servingConfig";
import { setupLogs } from "../src/utils/events";
import { createRandom } from "../src/utils/random";
import { sleep } from "../src/utils/time";
import { applyCustomers, confirmByStore, requireConfirmation } from "./fakes/customers";
import { delayFeed } from "./fakes/delayFeed";
import type { TestGateway } from "./fakes/gatewayHarness";
import { callGateway, platformTestSettings, startGateway } from "./fakes/gatewayHarness";
import { MemoryPlatformStore } from "./fakes/memoryPlatformStore";
import type { Script } from "./fakes/scriptedUpstream";
import { startScriptedUpstream } from "./fakes/scriptedUpstream";
import { answer, brokenStream, completeStream, refuse, reset, resumedStream } from "./fakes/upstreamScripts";

const customers: readonly CustomerSpec[] = [{ name: "acme", apiKeys: ["k-acme"] }];
const headers = { "x-api-key": "k-acme" };
const revoke = ({ gateway }: TestGateway): void => applyCustomers(gateway, []);
/** Lets the last confirmation expire. */
const expire = ({ gateway }: TestGateway): void => requireConfirmation(gateway, 1);

describe("a key that is withdrawn while its request waits", () => {
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));

    interface RetryCase {
        readonly name: string;
        readonly scripts: readonly [Script, Script];
        readonly route: Partial<ServiceRoute>;
        /** Done when the first upstream has the request. */
        readonly change?: (node: TestGateway) => void;
        readonly status: number;
        readonly isComplete?: boolean;
        readonly received: number;
    }
    const idempotent = { kind: RouteKind.Idempotent, maxAttempts: 2 };
    const stream = { kind: RouteKind.Streaming, isResumable: true, maxAttempts: 2 };
    const cases: readonly RetryCase[] = [
        {
            name: "keeps the request from a retry after a refusal, and 401 says that it has not run",
            scripts: [refuse, answer],
            route: idempotent,
            change: revoke,
            status: 401,
            received: 1,
        },
        {
            name: "keeps the request from a retry after a run that was lost, without a claim that it has not run",
            scripts: [reset, answer],
            route: idempotent,
            change: revoke,
            status: 502,
            received: 1,
        },
        {
            name: "keeps a stream from going on elsewhere",
            scripts: [brokenStream, resumedStream],
            route: stream,
            change: revoke,
            status: 200,
            isComplete: false,
            received: 1,
        },
        { name: "does not interrupt a request that runs", scripts: [completeStream, answer], route: stream, change: revoke, status: 200, received: 1 },
        {
            name: "may be withdrawn unnoticed: a retry waits for a confirmation",
            scripts: [refuse, answer],
            route: idempotent,
            change: expire,
            status: 503,
            received: 1,
        },
        { name: "is retried as long as it is valid", scripts: [refuse, answer], route: idempotent, status: 200, received: 2 },
    ];
    for (const { name, scripts: [first, second], route, change, status, isComplete = true, received } of cases) {
        it(name, async () => {
            const nodes: TestGateway[] = [];
            const changing: Script = (...args) => {
                change?.(nodes[0]!);
                first(...args);
            };
            const upstreams = await Promise.all([changing, second].map(script => startScriptedUpstream(script)));
            const node = await startGateway(upstreams.map(({ address }) => address), route);
            nodes.push(node);
            try {
                [...upstreams.keys()].forEach(index => node.gateway.trafficOf(`up-${index}`).onFirstByte(20 + 20 * index));
                applyCustomers(node.gateway, customers);
                requireConfirmation(node.gateway);
                confirmByStore(node.gateway);
                const result = await callGateway(node.address, { headers });
                assert.deepEqual([result.status, result.isComplete], [status, isComplete]);
                assert.equal(upstreams.reduce((sum, upstream) => sum + upstream.received.length, 0), received);
                assert.equal(result.headers["retry-after"] !== undefined, status === 503, "Retry-After");
            }
            finally {
                node.close();
                upstreams.forEach(upstream => upstream.close());
            }
        });
    }

    it("keeps a request in the queue of a busy runner from being sent", async () => {
        const upstream = await startScriptedUpstream(completeStream);
        const node = await startGateway([upstream.address], { kind: RouteKind.Streaming, timeoutMs: 3_000, latencyObjectiveMs: 500 });
        try {
            applyCustomers(node.gateway, customers);
            requireConfirmation(node.gateway);
            confirmByStore(node.gateway);
            const traffic = node.gateway.trafficOf("up-0");
            traffic.pendingPrefillMs = 800;
            const result = callGateway(node.address, { headers: { ...headers, "model": "m", "token-count": "8000,8", "prompt-prefix": "a1:10" } });
            await sleep(150);
            revoke(node);
            traffic.pendingPrefillMs = 0;
            assert.equal((await result).status, 401);
            assert.equal(upstream.received.length, 0);
        }
        finally {
            node.close();
            upstream.close();
        }
    });
});

describe("a node whose configuration is not confirmed", () => {
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));

    interface Case {
        readonly name: string;
        readonly confirmedAgoMs: number | undefined;
        readonly isStrict?: boolean;
        readonly route?: Partial<ServiceRoute>;
        readonly customers?: readonly CustomerSpec[] | undefined;
        readonly status: number;
        readonly isReady: boolean;
    }
    const cases: readonly Case[] = [
        { name: "serves keys shortly before nine tenths of the time", confirmedAgoMs: 3_500, status: 200, isReady: true },
        { name: "serves no keys after nine tenths of the time, cut off from store and peers", confirmedAgoMs: 4_500, status: 503, isReady: false },
        { name: "serves no keys after a restart", confirmedAgoMs: undefined, status: 503, isReady: false },
        { name: "serves public routes", confirmedAgoMs: undefined, route: { isPublic: true }, status: 200, isReady: false },
        { name: "serves keys where revocation is not strict", confirmedAgoMs: undefined, isStrict: false, status: 200, isReady: true },
        { name: "serves all where no customers are declared", confirmedAgoMs: undefined, customers: undefined, status: 200, isReady: true },
    ];
    for (const { name, confirmedAgoMs, isStrict = true, route, status, isReady: expected, ...rest } of cases) {
        it(name, async () => {
            const upstream = await startScriptedUpstream(answer);
            const node = await startGateway([upstream.address], route);
            try {
                applyCustomers(node.gateway, "customers" in rest ? rest.customers : customers);
                if (isStrict) {
                    requireConfirmation(node.gateway);
                }
                if (confirmedAgoMs !== undefined) {
                    confirmByStore(node.gateway, confirmedAgoMs);
                }
                const result = await callGateway(node.address, { headers });
                assert.deepEqual([result.status, isReady(node.gateway)], [status, expected]);
                assert.equal(upstream.received.length, status === 200 ? 1 : 0);
                assert.ok(status !== 503 || Number(result.headers["retry-after"]) < 1, "a short Retry-After");
            }
            finally {
                node.close();
                upstream.close();
            }
        });
    }
});

const table = "op";
const key = "config";
const feedDelayMs = 50;
const limits = { maxHeaderBytes: 8_192, maxBodyBytes: 1_000, headerTimeoutMs: 3_000, idleTimeoutMs: 5_000 };
const configOf = (version: number, tenants: unknown = []): Buffer => Buffer.from(JSON.stringify({ version, routes: [], services: [], limits, tenants }));

describe("reads of the configuration where keys must be confirmed", () => {
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));

    interface Case {
        readonly name: string;
        readonly change?: (store: MemoryPlatformStore) => void;
        /** Age of the configuration 10 s after the change. */
        readonly isRecent: boolean;
    }
    const cases: readonly Case[] = [
        { name: "keep it confirmed without any peer", isRecent: true },
        { name: "stop confirming while the store is down", change: store => store.isDown = true, isRecent: false },
        {
            name: "confirm nothing by a version that is invalid",
            change: store => store.put({ table, part: "", key }, configOf(8, [{ name: "" }])),
            isRecent: false,
        },
        { name: "go on with the next version", change: store => store.put({ table, part: "", key }, configOf(8)), isRecent: true },
        { name: "go on confirming after a restore of the store, at a node without peers", change: store => store.restore(store.copy()), isRecent: true },
    ];
    for (const { name, change, isRecent } of cases) {
        it(name, async () => {
            const clock = install({ toFake: ["performance", "Date", "setTimeout", "clearTimeout"], shouldClearNativeTimers: true });
            const abort = new AbortController();
            try {
                const random = createRandom(1);
                const store = MemoryPlatformStore.create(random);
                store.put({ table, part: "", key }, configOf(7));
                const gateway = Gateway.create({ ...platformTestSettings, isRevocationStrict: true }, requestHeaderCodec, random);
                const observer = createConfigObserver(gateway, key, decodeConfig, () => undefined);
                const { confirmation, freshness } = gateway;
                const options = { pauseMs: () => 0, waitMs: () => feedDelayMs, maxRetryDelayMs: () => 500, knownVersion: () => 0, freshness, confirmation };
                void TableFollower.create(MonitoredStore.create(delayFeed(store, feedDelayMs)), table, observer, random, options).run(abort.signal);
                await clock.tickAsync(1_000);
                assert.equal(gateway.config?.version, 7);
                assert.ok(confirmation.isRecent, "confirmed at the start");
                change?.(store);
                await clock.tickAsync(10_000);
                assert.equal(confirmation.isRecent, isRecent, `${confirmation.ageMs} ms`);
            }
            finally {
                abort.abort();
                clock.uninstall();
            }
        });
    }
});

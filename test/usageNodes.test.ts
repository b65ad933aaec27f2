import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import type { UsageLimit } from "../src/types/customer";
import { UsageUnit } from "../src/types/customer";
import { setupLogs } from "../src/utils/events";
import { sleep } from "../src/utils/time";
import type { CallerResult } from "./fakes/gatewayHarness";
import { UsageNodes } from "./fakes/usageNodes";

const limit: UsageLimit = { unit: UsageUnit.Requests, perSecond: 20, burst: 20, plainTokens: 1 };
const windowMs = 2_000;
/** Time that a request may take from its charge to the upstream on a busy machine: what was charged before a window may arrive within it. */
const lateMs = 500;
const allowed = limit.perSecond * (windowMs + lateMs) / 1_000 + limit.burst;

const countOf = (results: readonly CallerResult[], status: number): number => results.filter(result => result.status === status).length;

/** Guards against messages between nodes that do not carry charges, their answers or their returns. */
describe("a customer's usage at nodes that exchange real messages", () => {
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));

    it("stays within the limit of all nodes together, and uses it", async () => {
        const fleet = await UsageNodes.create(6, limit);
        try {
            const results = await fleet.runLoad(80, 5_000);
            const most = fleet.mostInWindow(windowMs);
            assert.ok(most <= allowed, `${most} in a window, ${allowed} are allowed`);
            assert.equal(countOf(results, 200), fleet.ranAt.length);
            assert.ok(countOf(results, 200) >= 0.9 * limit.perSecond * 5, `${countOf(results, 200)} of ${results.length} in 5 s`);
        }
        finally {
            fleet.close();
        }
    });

    /** Guards against requests that are refused though the home node lives: all calls to it are answered in time. */
    it("refuses with 429 only, while all nodes reach the home node", async () => {
        const fleet = await UsageNodes.create(6, limit);
        try {
            const results = await fleet.runLoad(80, 5_000);
            const others = results.filter(({ status }) => status !== 200 && status !== 429);
            assert.deepEqual(others.map(({ status, body, afterMs }) => `${status} after ${Math.round(afterMs)} ms: ${body}`), [], "nothing else");
            assert.deepEqual(results.filter(({ status, headers }) => status === 429 && !(Number(headers["retry-after"]) <= 2)), []);
        }
        finally {
            fleet.close();
        }
    });

    it("is not known at once when the home node ends: 503 until another one is the home", async () => {
        const fleet = await UsageNodes.create(4, limit);
        try {
            await fleet.runLoad(40, 1_000);
            const { home } = fleet;
            const others = fleet.nodes.filter(node => node !== home);
            home.peerServer.close();
            const results = await fleet.runLoad(20, 1_000, others);
            assert.equal(countOf(results, 503), results.length, "no reserve without overrun and slack");
            assert.ok(results.every(({ headers, afterMs }) => Number(headers["retry-after"]) > 0 && afterMs < 1_500));
        }
        finally {
            fleet.close();
        }
    });

    it("is not admitted by a home node of the last release, which answers without usage", async () => {
        const fleet = await UsageNodes.create(4, limit);
        try {
            const { home } = fleet;
            home.peerServer.usage = undefined;
            const results = await fleet.runLoad(20, 500, fleet.nodes.filter(node => node !== home));
            assert.equal(countOf(results, 503), results.length);
            assert.equal(fleet.ranAt.length, 0);
        }
        finally {
            fleet.close();
        }
    });

    it("is returned to the home node for requests that no upstream ran", async () => {
        const fleet = await UsageNodes.create(4, { ...limit, perSecond: 1 });
        try {
            const { home } = fleet;
            const other = fleet.nodes.find(node => node !== home)!;
            await sleep(1_500);
            assert.equal((await fleet.call(other)).status, 200);
            fleet.nodes.forEach(({ gateway }) => gateway.directory.apply({ id: "up", version: 2, server: undefined }));
            const before = home.client.usageLevels().get("acme")!;
            assert.equal((await fleet.call(other)).status, 503);
            await sleep(200);
            assert.ok(home.client.usageLevels().get("acme")! >= before, "the charge is back");
        }
        finally {
            fleet.close();
        }
    });
});

import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import type { QueuedRequest } from "../src/core/requestQueue";
import { RequestQueue } from "../src/core/requestQueue";
import { RouteKind } from "../src/types/servingConfig";
import { setupLogs } from "../src/utils/events";
import type { CallerResult, TestGateway } from "./fakes/gatewayHarness";
import { callGateway, startGateway } from "./fakes/gatewayHarness";
import { startScriptedUpstream } from "./fakes/scriptedUpstream";
import { completeStream } from "./fakes/upstreamScripts";

const now = 10_000;
const waiter = (targetInMs: number, priority = 1): QueuedRequest => ({ firstTokenDueAt: now + targetInMs, priority });

describe("the queue of requests", () => {
    const cases: readonly { readonly name: string; readonly others: readonly QueuedRequest[]; readonly self: QueuedRequest; readonly before: number; }[] = [
        { name: "nobody waits", others: [], self: waiter(500), before: 0 },
        { name: "the nearest objective goes first", others: [waiter(100), waiter(900)], self: waiter(500), before: 1 },
        {
            name: "a request that is late lets those go that can be on time",
            others: [waiter(100), waiter(900), waiter(-2_000)],
            self: waiter(-1_000),
            before: 3,
        },
        { name: "rank goes before age", others: [waiter(100, 2), waiter(900, 0)], self: waiter(500, 1), before: 1 },
        { name: "an objective too near to be met counts as missed", others: [waiter(20)], self: waiter(500), before: 0 },
    ];
    for (const { name, others, self, before: expected } of cases) {
        it(name, () => {
            const queue = RequestQueue.create(() => now);
            [...others, self].forEach(entry => queue.add("m", entry));
            queue.add("n", waiter(1));
            assert.equal(queue.countAhead("m", self), expected);
            others.forEach(entry => queue.remove("m", entry));
            assert.equal(queue.countAhead("m", self), 0);
        });
    }
});

describe("a busy runner", () => {
    let stage: TestGateway;
    let close: () => void;
    const received: { count: () => number; } = { count: () => 0 };
    before(async () => {
        setupLogs("silent");
        const upstream = await startScriptedUpstream(completeStream);
        received.count = () => upstream.received.length;
        stage = await startGateway([upstream.address], { kind: RouteKind.Streaming, timeoutMs: 3_000, latencyObjectiveMs: 500, eventGapObjectiveMs: 600 });
        close = () => {
            stage.close();
            upstream.close();
        };
    });
    after(() => {
        close();
        setupLogs("info");
    });

    const ask = (promptTokens: number): Promise<CallerResult> =>
        callGateway(stage.address, { headers: { "model": "m", "token-count": `${promptTokens},8`, "prompt-prefix": "a1:10" } });
    const setBacklog = (ms: number): void => {
        stage.gateway.trafficOf("up-0").pendingPrefillMs = ms;
    };

    it("gets no further prompt until it has read what waits", async () => {
        setBacklog(800);
        setTimeout(() => setBacklog(0), 300);
        const before = received.count();
        const { status, afterMs } = await ask(8_000);
        assert.equal(status, 200);
        assert.ok(afterMs >= 290, `after ${afterMs} ms`);
        assert.equal(received.count() - before, 1);
    });

    it("gets a short prompt at once", async () => {
        setBacklog(800);
        const { status, afterMs } = await ask(400);
        assert.equal(status, 200);
        assert.ok(afterMs < 200, `after ${afterMs} ms`);
    });

    it("is not waited for where the answer would come too late, and the caller hears it at once", async () => {
        setBacklog(4_000);
        const before = received.count();
        const { status, headers, afterMs } = await ask(8_000);
        assert.equal(status, 503);
        assert.ok(afterMs < 200, `after ${afterMs} ms`);
        assert.ok(Number(headers["retry-after"]) > 0.5);
        assert.equal(received.count(), before);
    });

    it("is spared while its streams stall", async () => {
        setBacklog(0);
        for (let event = 0; event < 20; event++) {
            stage.gateway.trafficOf("up-0").onEventGap(400);
        }
        const { status, afterMs } = await ask(8_000);
        assert.equal(status, 200);
        assert.ok(afterMs > 800 && afterMs < 1_300, `after ${afterMs} ms`);
    });
});

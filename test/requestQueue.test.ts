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
const queuedRequest = (dueInMs: number, priority = 1): QueuedRequest => ({ firstTokenDueAt: now + dueInMs, priority });

describe("request queue", () => {
    const cases: readonly { readonly name: string; readonly others: readonly QueuedRequest[]; readonly self: QueuedRequest; readonly before: number; }[] = [
        { name: "no other request is queued", others: [], self: queuedRequest(500), before: 0 },
        { name: "the request that is due first is served first", others: [queuedRequest(100), queuedRequest(900)], self: queuedRequest(500), before: 1 },
        {
            name: "a late request is served after those that can still meet their objective",
            others: [queuedRequest(100), queuedRequest(900), queuedRequest(-2_000)],
            self: queuedRequest(-1_000),
            before: 3,
        },
        { name: "priority is compared before due time", others: [queuedRequest(100, 2), queuedRequest(900, 0)], self: queuedRequest(500, 1), before: 1 },
        { name: "an objective that is too close to be met counts as missed", others: [queuedRequest(20)], self: queuedRequest(500), before: 0 },
    ];
    for (const { name, others, self, before: expected } of cases) {
        it(name, () => {
            const queue = RequestQueue.create(() => now);
            [...others, self].forEach(entry => queue.add("m", entry));
            queue.add("n", queuedRequest(1));
            assert.equal(queue.countAhead("m", self), expected);
            others.forEach(entry => queue.remove("m", entry));
            assert.equal(queue.countAhead("m", self), 0);
        });
    }
});

describe("busy runner", () => {
    let testGateway: TestGateway;
    let close: () => void;
    const received: { count: () => number; } = { count: () => 0 };
    before(async () => {
        setupLogs("silent");
        const upstream = await startScriptedUpstream(completeStream);
        received.count = () => upstream.received.length;
        testGateway = await startGateway([upstream.address], {
            kind: RouteKind.Streaming,
            timeoutMs: 3_000,
            latencyObjectiveMs: 500,
            eventGapObjectiveMs: 600,
        });
        close = () => {
            testGateway.close();
            upstream.close();
        };
    });
    after(() => {
        close();
        setupLogs("info");
    });

    const sendPrompt = (promptTokens: number): Promise<CallerResult> =>
        callGateway(testGateway.address, { headers: { "model": "m", "token-count": `${promptTokens},8`, "prompt-prefix": "a1:10" } });
    const setBacklog = (ms: number): void => {
        testGateway.gateway.trafficOf("up-0").pendingPrefillMs = ms;
    };

    it("gets no further prompt until its prefill backlog is done", async () => {
        setBacklog(800);
        setTimeout(() => setBacklog(0), 300);
        const before = received.count();
        const { status, afterMs } = await sendPrompt(8_000);
        assert.equal(status, 200);
        assert.ok(afterMs >= 290, `after ${afterMs} ms`);
        assert.equal(received.count() - before, 1);
    });

    it("gets a short prompt at once", async () => {
        setBacklog(800);
        const { status, afterMs } = await sendPrompt(400);
        assert.equal(status, 200);
        assert.ok(afterMs < 200, `after ${afterMs} ms`);
    });

    it("does not hold a request whose answer would be too late: the caller is refused at once", async () => {
        setBacklog(4_000);
        const before = received.count();
        const { status, headers, afterMs } = await sendPrompt(8_000);
        assert.equal(status, 503);
        assert.ok(afterMs < 200, `after ${afterMs} ms`);
        assert.ok(Number(headers["retry-after"]) > 0.5);
        assert.equal(received.count(), before);
    });

    it("gets no further prompt while its streams stall", async () => {
        setBacklog(0);
        for (let event = 0; event < 20; event++) {
            testGateway.gateway.trafficOf("up-0").onEventGap(400);
        }
        const { status, afterMs } = await sendPrompt(8_000);
        assert.equal(status, 200);
        assert.ok(afterMs > 800 && afterMs < 1_300, `after ${afterMs} ms`);
    });
});

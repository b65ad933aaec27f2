import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { RouteKind } from "../src/types/servingConfig";
import { setupLogs } from "../src/utils/events";
import { callGateway, startGateway } from "./fakes/gatewayHarness";
import { startScriptedUpstream } from "./fakes/scriptedUpstream";
import { resumedStream } from "./fakes/upstreamScripts";

const timeoutMs = 2_000;
const latencyObjectiveMs = 300;

/** Guards against streams that callers take up and that are refused by a forecast for a whole stream, although a runner could go on with the rest. */
describe("a stream that its caller takes up at a busy runner", () => {
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));

    interface Case {
        readonly name: string;
        readonly headers: Readonly<Record<string, string>>;
        /** Prefill that other nodes have queued at the runner. */
        readonly backlogMs: number;
        /** Gap between the events of its streams. */
        readonly eventGapMs: number;
        readonly status: number;
        readonly received: number;
    }
    const lastEvent = { "last-event-id": "2" };
    const cases: readonly Case[] = [
        { name: "is refused if it is a new one, which would take too long", headers: {}, backlogMs: 600, eventGapMs: 150, status: 503, received: 0 },
        { name: "goes on though a whole stream would take too long", headers: lastEvent, backlogMs: 600, eventGapMs: 150, status: 200, received: 1 },
        { name: "goes on though the runner gets no new prompts", headers: lastEvent, backlogMs: 1_200, eventGapMs: 10, status: 200, received: 1 },
        { name: "is refused if not even its next event is expected in time", headers: lastEvent, backlogMs: 2_500, eventGapMs: 10, status: 503, received: 0 },
    ];
    for (const { name, headers, backlogMs, eventGapMs, status, received } of cases) {
        it(name, async () => {
            const upstream = await startScriptedUpstream(resumedStream);
            const { gateway, address, close } = await startGateway([upstream.address], {
                kind: RouteKind.Streaming,
                isResumable: true,
                maxAttempts: 2,
                timeoutMs,
                latencyObjectiveMs,
            });
            try {
                gateway.trafficOf("up-0").onPeerLoad(backlogMs, 8);
                gateway.trafficOf("up-0").onEventGap(eventGapMs);
                const prompt = { model: "m", "token-count": "9000,292", "prompt-prefix": "5c1e07a2:6000,91bd3f06:3000" };
                const answer = await callGateway(address, { headers: { ...prompt, ...headers } });
                assert.deepEqual([answer.status, upstream.received.length], [status, received]);
                assert.ok(answer.afterMs < latencyObjectiveMs, `answered or refused after ${Math.round(answer.afterMs)} ms`);
            }
            finally {
                upstream.close();
                close();
            }
        });
    }
});

import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { predictCompletionMs } from "../src/core/chooseUpstream";
import { UpstreamTraffic } from "../src/core/upstreamTraffic";
import type { UpstreamServer } from "../src/types/upstreamServer";

const modelRequest = { model: "m", promptTokens: 715, maxOutputTokens: 560, parts: [] };

describe("prediction of a generation's completion", () => {
    // Half of the 560 tokens are generated on average; the gap between events is measured at the runner.
    const cases: readonly { readonly tokensPerEvent: number; readonly eventGapMs?: number; readonly completionMs: number; }[] = [
        { tokensPerEvent: 7, eventGapMs: 92, completionMs: 40 * 92 },
        { tokensPerEvent: 4, eventGapMs: 92, completionMs: 70 * 92 },
        { tokensPerEvent: 9, eventGapMs: 60, completionMs: 280 / 9 * 60 },
        { tokensPerEvent: 7, completionMs: 280 * 5.5 * 1.6 },
    ];
    for (const { tokensPerEvent, eventGapMs, completionMs } of cases) {
        it(`uses the tokens in an event (${tokensPerEvent}, gap ${eventGapMs ?? "unknown"})`, () => {
            const traffic = UpstreamTraffic.create(() => 0);
            if (eventGapMs !== undefined) {
                traffic.onEventGap(eventGapMs);
            }
            const candidate = { server: {} as UpstreamServer, traffic, prefillTokens: 715, tokensPerEvent, timeFactor: 1 };
            const predictedMs = predictCompletionMs({ candidate, predictedMs: 0, prefillMs: 19 }, modelRequest, 0);
            assert.ok(Math.abs(predictedMs - completionMs) < 1, `${predictedMs} ms`);
        });
    }
});

import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { isFree, isSaturated } from "../src/core/saturation";
import { UpstreamTraffic } from "../src/core/upstreamTraffic";
import type { UpstreamServer } from "../src/types/upstreamServer";

interface Case {
    readonly name: string;
    readonly tokensPerEvent: number;
    readonly prefillMs: number;
    readonly latencyObjectiveMs: number;
    readonly eventGapObjectiveMs: number;
    readonly backlogMs?: number;
    readonly eventGapMs?: number;
    readonly isSaturated: boolean;
}

const longPrompts = { tokensPerEvent: 4, prefillMs: 200, latencyObjectiveMs: 1_000, eventGapObjectiveMs: 600 };
const shortPrompts = { tokensPerEvent: 7, prefillMs: 15, latencyObjectiveMs: 400, eventGapObjectiveMs: 150 };
const cases: readonly Case[] = [
    { name: "an idle runner", ...longPrompts, isSaturated: false },
    { name: "a prefill backlog behind which the first token would be late", ...longPrompts, backlogMs: 500, isSaturated: true },
    { name: "streams near the gap that their route allows", ...longPrompts, eventGapMs: 200, isSaturated: true },
    { name: "a prompt that is short for its route's gap", ...longPrompts, prefillMs: 10, backlogMs: 500, isSaturated: false },
    { name: "short prompts and a short allowed gap, idle", ...shortPrompts, eventGapMs: 40, isSaturated: false },
    { name: "short prompts and a short allowed gap, half of the time on prefill", ...shortPrompts, eventGapMs: 80, isSaturated: true },
    { name: "a backlog within the long objective, but not within the short one", ...shortPrompts, backlogMs: 200, isSaturated: true },
];

describe("saturation of a runner", () => {
    for (const { name, tokensPerEvent, prefillMs, backlogMs = 0, eventGapMs, isSaturated: expected, ...objectives } of cases) {
        it(`${expected ? "holds back at" : "admits to"} ${name}`, () => {
            const traffic = UpstreamTraffic.create(() => 0);
            traffic.pendingPrefillMs = backlogMs;
            if (eventGapMs !== undefined) {
                traffic.onEventGap(eventGapMs);
            }
            const candidate = { server: {} as UpstreamServer, traffic, prefillTokens: 1, tokensPerEvent, timeFactor: 1 };
            assert.equal(isSaturated({ candidate, predictedMs: 0, prefillMs }, objectives), expected);
        });
    }
});

describe("a runner that is free", () => {
    const free = { load: 3, waiting: 0, waitingPrefillMs: 0 };
    const freeCases: readonly { readonly name: string; readonly traffic: Partial<typeof free>; readonly isFree: boolean; }[] = [
        { name: "has a slot, and nothing is queued there", traffic: {}, isFree: true },
        { name: "is not one without a free slot", traffic: { load: 8 }, isFree: false },
        { name: "is not one where requests wait", traffic: { waiting: 1 }, isFree: false },
        { name: "is not one where a prefill is pending", traffic: { waitingPrefillMs: 40 }, isFree: false },
    ];
    for (const { name, traffic, isFree: expected } of freeCases) {
        it(name, () => {
            const server = { slots: 8 } as UpstreamServer;
            const candidate = { server, traffic: { ...free, ...traffic } as unknown as UpstreamTraffic, prefillTokens: 1, tokensPerEvent: 4, timeFactor: 1 };
            assert.equal(isFree({ candidate, predictedMs: 0, prefillMs: 100 }, { latencyObjectiveMs: 1_000 }), expected);
        });
    }
});

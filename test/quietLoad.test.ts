import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { setupLogs } from "../src/utils/events";
import type { LoadResult, QuietPhase } from "./fakes/quietLoad";
import { playQuietLoad } from "./fakes/quietLoad";

const durationMs = 6_000;
/** Two requests of each of two nodes may reach an upstream while it wants none. */
const maxArrivalsPerPhase = 4;
/** Two nodes have at most 5 requests each in progress at an upstream after a quiet time; a busy machine may send those of some time at once. */
const maxAtOnce = 20;
/** A refusal may be on its way when a quiet time ends. */
const maxAvoidableRefusals = 2;

describe("a busy service whose upstreams ask for quiet", () => {
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));

    interface Case {
        readonly name: string;
        readonly phases: readonly QuietPhase[];
        readonly minAnsweredShare: number;
        readonly minInTimeShare: number;
        readonly maxRefusals: number;
    }
    const cases: readonly Case[] = [
        {
            name: "in turns",
            phases: [0, 1, 2, 0, 1].map((upstream, index) => ({ upstream, fromMs: 300 + 1_000 * index, toMs: 1_300 + 1_000 * index })),
            minAnsweredShare: 0.99,
            minInTimeShare: 0.95,
            maxRefusals: 5,
        },
        {
            name: "all at once, shortly",
            phases: [1_000, 3_000].map(fromMs => ({ upstream: "all", fromMs, toMs: fromMs + 250 })),
            minAnsweredShare: 0.99,
            minInTimeShare: 0.9,
            maxRefusals: 10,
        },
        {
            name: "all at once, for longer than the objective",
            phases: [{ upstream: "all", fromMs: 1_000, toMs: 2_500 }],
            minAnsweredShare: 0.9,
            minInTimeShare: 0.7,
            maxRefusals: 100,
        },
        {
            name: "two of three at once",
            phases: [0, 1].map(upstream => ({ upstream, fromMs: 1_000, toMs: 4_000 })),
            minAnsweredShare: 0.99,
            minInTimeShare: 0.9,
            maxRefusals: 5,
        },
    ];
    for (const { name, phases, minAnsweredShare, minInTimeShare, maxRefusals } of cases) {
        it(`is served ${name}`, async () => {
            const result: LoadResult = await playQuietLoad(phases, durationMs, 1);
            const text = JSON.stringify(result);
            console.log(`${name}: ${text}`);
            assert.ok(result.answeredShare >= minAnsweredShare && result.inTimeShare >= minInTimeShare, text);
            assert.ok(result.refusals <= maxRefusals && result.avoidableRefusals <= maxAvoidableRefusals, text);
            assert.ok(result.mostAtOnce <= maxAtOnce, text);
            assert.ok(result.quietArrivals <= maxArrivalsPerPhase * phases.length, text);
        });
    }
});

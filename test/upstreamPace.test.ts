import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { UpstreamCandidate } from "../src/core/chooseUpstream";
import { chooseUpstream, predictCompletionMs } from "../src/core/chooseUpstream";
import { UpstreamTraffic } from "../src/core/upstreamTraffic";
import { requestHeaderCodec } from "../src/platform/requestHeaderCodec";
import type { UpstreamServer } from "../src/types/upstreamServer";
import { IgnoredHeader } from "../src/types/upstreamWord";
import { createRandom } from "../src/utils/random";
import { playUnevenUpstreams } from "./fakes/unevenUpstreams";

const idle = { running: 0, waiting: 0, slots: 8 };

describe("fourth figure of a load", () => {
    const cases: readonly { readonly text: string; readonly pace?: number; readonly ignored?: IgnoredHeader; }[] = [
        { text: "3,0,8" },
        { text: "3,0,8,100", pace: 1 },
        { text: "3,0,8, 250.5 ", pace: 2.505 },
        { text: "3,0,8,10000", pace: 100 },
        { text: "3,0,8,130,7", pace: 1.3 },
        { text: "3,0,8,", ignored: IgnoredHeader.PaceValue },
        { text: "3,0,8,0", ignored: IgnoredHeader.PaceValue },
        { text: "3,0,8,000.0", ignored: IgnoredHeader.PaceValue },
        { text: "3,0,8,-100", ignored: IgnoredHeader.PaceValue },
        { text: "3,0,8,1e2", ignored: IgnoredHeader.PaceValue },
        { text: "3,0,8,0x64", ignored: IgnoredHeader.PaceValue },
        { text: "3,0,8,NaN", ignored: IgnoredHeader.PaceValue },
        { text: "3,0,8,Infinity", ignored: IgnoredHeader.PaceValue },
        { text: "3,0,8,slow", ignored: IgnoredHeader.PaceValue },
        { text: "3,0,8,1", ignored: IgnoredHeader.PaceRange },
        { text: "3,0,8,10001", ignored: IgnoredHeader.PaceRange },
        { text: `3,0,8,${"9".repeat(400)}`, ignored: IgnoredHeader.PaceRange },
    ];
    for (const { text, pace, ignored } of cases) {
        // Guards against a bad pace that takes the other three figures with it, or that attracts or repels all requests.
        it(`of ${JSON.stringify(text.slice(0, 30))} is ${pace ?? "ignored alone"}`, () => {
            const { load, ignoredHeaders } = requestHeaderCodec.decodeAnswer(200, { "server-load": text });
            assert.deepEqual({ ...load, ignoredHeaders }, { running: 3, waiting: 0, slots: 8, pace, ignoredHeaders: ignored === undefined ? [] : [ignored] });
        });
    }

    // Guards against a pace that is used although the load it belongs to is not valid.
    it("does not make a load of an invalid one", () => assert.equal(requestHeaderCodec.decodeAnswer(200, { "server-load": "3,x,8,200" }).load, undefined));
});

describe("pace of an upstream", () => {
    // Guards against a momentary pace that is believed for long.
    it("decays to the usual one with its age", () => {
        let now = 0;
        const traffic = UpstreamTraffic.create(() => now);
        assert.equal(traffic.pace, 1);
        traffic.onReportedLoad({ ...idle, pace: 3 });
        const ages: readonly (readonly [ageMs: number, pace: number])[] = [[0, 3], [300, 2], [600, 1.5], [1_500, 1]];
        for (const [ageMs, pace] of ages) {
            now = ageMs;
            assert.equal(traffic.pace, pace, `at ${ageMs} ms`);
        }
    });

    // Guards against an upstream that counts as slow twice: by the latency it had while it was slow, and by its pace.
    it("is taken out of the average of the times that were measured at it", () => {
        const traffic = UpstreamTraffic.create(() => 0);
        traffic.onFirstByte(90, 3);
        assert.equal(traffic.firstByteMs, 30);
    });
});

const candidateOf = (index: number, prefillTokens: number, pace?: number): UpstreamCandidate => {
    const traffic = UpstreamTraffic.create(() => 0);
    traffic.onReportedLoad({ ...idle, pace });
    return { server: { id: `u${index}`, availabilityZone: "a", slots: 8 } as UpstreamServer, traffic, prefillTokens, tokensPerEvent: 4, timeFactor: 1 };
};

describe("choice among upstreams with paces", () => {
    for (const [kind, prefillTokens] of [["plain request", 0], ["generation", 2_000]] as const) {
        // Guards against a prediction that leaves the pace out.
        it(`predicts twice the time of a ${kind} at twice the usual time`, () => {
            const [usual, slow] = [1, 2].map(pace => chooseUpstream([candidateOf(0, prefillTokens, pace)], "a")!);
            assert.equal(slow!.predictedMs, 2 * usual!.predictedMs);
            const request = { model: "m", promptTokens: 2_000, maxOutputTokens: 100, parts: [] };
            assert.ok(prefillTokens === 0 || predictCompletionMs(slow!, request, 1) === 2 * predictCompletionMs(usual!, request, 1));
        });
    }

    // Guards against a draw that changes the choice of deployments whose upstreams send three figures.
    it("does not draw where no upstream reports a pace", () => {
        const candidates = [...Array(5).keys()].map(index => candidateOf(index, 0));
        const random = (): number => assert.fail("drew a number");
        assert.equal(chooseUpstream(candidates, "a", random)?.candidate, candidates[0]);
    });

    // Guards against a draw that picks what is known to be slow or to have failed.
    it("draws an upstream of three times the cost for fewer than 1 request in 100", () => {
        const candidates = [candidateOf(0, 0, 1), candidateOf(1, 0, 3), candidateOf(2, 0, 1)];
        candidates[2]!.traffic.onUnreachable();
        const random = createRandom(1);
        const choices = [...Array(2_000).keys()].map(() => chooseUpstream(candidates, "a", random)!.candidate);
        assert.ok(choices.filter(choice => choice !== candidates[0]).length < 20);
    });

    // Guards against weights whose sum is not a number: no upstream would be drawn.
    it("draws where a cost is 0", () => {
        const candidates = [candidateOf(0, 0, 1), candidateOf(1, 0, 1)];
        candidates.forEach(({ traffic }) => traffic.onFirstByte(0));
        assert.ok(chooseUpstream(candidates, "a", createRandom(1)));
    });
});

describe("133 nodes before 42 upstreams", () => {
    const base = { nodes: 133, upstreams: 42, slots: 8, usualMs: 100, seconds: 8 };
    const plays: readonly { readonly name: string; readonly paceRange: readonly [number, number]; readonly requestsPerS: number; readonly seed: number; }[] = [
        { name: "uneven, little load", paceRange: [0.6, 3], requestsPerS: 388, seed: 1 },
        { name: "uneven, half loaded", paceRange: [0.6, 3], requestsPerS: 1_000, seed: 2 },
        { name: "even, half loaded", paceRange: [1, 1], requestsPerS: 1_000, seed: 3 },
    ];
    for (const { name, ...play } of plays) {
        // Guards against nodes with figures of the same age that all send to the same upstream.
        it(`serves callers sooner and spreads requests more evenly than the lowest cost does (${name})`, () => {
            const lowest = playUnevenUpstreams({ ...base, ...play, reportsPace: false, draws: false });
            const drawn = playUnevenUpstreams({ ...base, ...play, reportsPace: true, draws: true });
            const figures = JSON.stringify({ lowest, drawn });
            assert.ok(drawn.meanMs < 0.9 * lowest.meanMs, figures);
            assert.ok(drawn.p95Ms < 0.6 * lowest.p95Ms, figures);
            assert.ok(drawn.topShare < 0.65 * lowest.topShare, figures);
            assert.ok(drawn.busiest < lowest.busiest, figures);
        });
    }
});

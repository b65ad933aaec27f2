import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { UpstreamCandidate } from "../src/core/chooseUpstream";
import { chooseUpstream } from "../src/core/chooseUpstream";
import { UpstreamTraffic } from "../src/core/upstreamTraffic";
import { ZoneDelays } from "../src/core/zoneDelays";
import type { LeavingRequest } from "../src/core/zoneSpill";
import { defaultCrossZoneMsPerMb, ZoneSpill } from "../src/core/zoneSpill";
import { readCrossZoneSettings } from "../src/node/crossZoneSettings";
import type { UpstreamServer } from "../src/types/upstreamServer";
import { createRandom } from "../src/utils/random";
import { playUnevenUpstreams } from "./fakes/unevenUpstreams";

const request: LeavingRequest = { service: "s", latencyObjectiveMs: 600, bytes: 0, isPassedOn: false };

/** An upstream as a case describes it: its zone, its usual time, and how old the newest figures about it are. */
interface CaseUpstream {
    readonly zone: string;
    readonly ms: number;
    readonly ageMs?: number;
    readonly isUnreachable?: boolean;
}

const candidateOf = ({ zone, ms, ageMs = 0, isUnreachable = false }: CaseUpstream, index: number): UpstreamCandidate => {
    let now = 0;
    const traffic = UpstreamTraffic.create(() => now);
    traffic.onReportedLoad({ running: 0, waiting: 0, slots: 8 });
    now = ageMs;
    traffic.onFirstByte(ms);
    if (isUnreachable) {
        traffic.onUnreachable();
    }
    return { server: { id: `u${index}`, availabilityZone: zone, slots: 8 } as UpstreamServer, traffic, prefillTokens: 0, tokensPerEvent: 1, timeFactor: 1 };
};

const spillOf = (msPerMb = defaultCrossZoneMsPerMb): ZoneSpill =>
    ZoneSpill.create({ zone: () => "a", msPerMb: () => msPerMb, random: createRandom(1), now: () => 0 });

describe("zone of a request", () => {
    const cases: readonly {
        readonly name: string;
        readonly upstreams: readonly CaseUpstream[];
        readonly request?: Partial<LeavingRequest>;
        readonly msPerMb?: number;
        readonly delayMs?: number;
        readonly zone: string;
    }[] = [
        { name: "the other one if it gains more than the way takes", upstreams: [{ zone: "a", ms: 60 }, { zone: "b", ms: 50 }], zone: "b" },
        { name: "the own one if the gain is smaller than the assumed way", upstreams: [{ zone: "a", ms: 52 }, { zone: "b", ms: 50 }], zone: "a" },
        { name: "the own one if the gain is smaller than the measured way", upstreams: [{ zone: "a", ms: 60 }, { zone: "b", ms: 50 }], delayMs: 12, zone: "a" },
        {
            name: "the own one if the bytes cost more than is gained",
            upstreams: [{ zone: "a", ms: 60 }, { zone: "b", ms: 50 }],
            request: { bytes: 100_000 },
            msPerMb: 150,
            zone: "a",
        },
        {
            name: "the other one with the same bytes at the default cost",
            upstreams: [{ zone: "a", ms: 60 }, { zone: "b", ms: 50 }],
            request: { bytes: 100_000 },
            zone: "b",
        },
        {
            name: "the own one for a request that a peer passed on",
            upstreams: [{ zone: "a", ms: 400 }, { zone: "b", ms: 50 }],
            request: { isPassedOn: true },
            zone: "a",
        },
        { name: "the own one if the other's figures are old", upstreams: [{ zone: "a", ms: 400 }, { zone: "b", ms: 50, ageMs: 1_501 }], zone: "a" },
        { name: "any one if the own one is empty, with old figures", upstreams: [{ zone: "b", ms: 50, ageMs: 60_000 }], zone: "b" },
        {
            name: "any one for a request that a peer passed on if the own one is empty",
            upstreams: [{ zone: "b", ms: 50 }],
            request: { isPassedOn: true },
            zone: "b",
        },
        {
            name: "any one if no upstream of the own one is reachable",
            upstreams: [{ zone: "a", ms: 50, isUnreachable: true }, { zone: "b", ms: 50, ageMs: 9_000 }],
            zone: "b",
        },
        {
            name: "the own one if the other's callers would be late",
            upstreams: [{ zone: "a", ms: 900 }, { zone: "b", ms: 421 }],
            zone: "a",
        },
        { name: "the other one if its callers are in time", upstreams: [{ zone: "a", ms: 900 }, { zone: "b", ms: 410 }], zone: "b" },
    ];
    for (const { name, upstreams, request: changes, msPerMb, delayMs, zone } of cases) {
        // Guards against requests that leave where it does not pay, or stay where nobody can serve them.
        it(`is ${name}`, () => {
            const spill = spillOf(msPerMb);
            if (delayMs !== undefined) {
                spill.delays.record("a", 1);
                spill.delays.record("b", 1 + delayMs);
            }
            const choice = chooseUpstream(upstreams.map(candidateOf), "a", createRandom(1), { request: { ...request, ...changes }, spill });
            assert.equal(choice?.candidate.server.availabilityZone, zone);
        });
    }

    // Guards against a prediction that contains what only the choice between zones depends on.
    it("adds the way to the predicted time, and neither the cost of bytes nor a refusal", () => {
        const spill = spillOf(1_000);
        const upstreams = [candidateOf({ zone: "b", ms: 60 }, 0)];
        assert.equal(chooseUpstream(upstreams, "a", undefined, { request: { ...request, bytes: 1_000_000 }, spill })?.predictedMs, 63);
    });

    // Guards against a rule that changes the choice, or draws, where the zones are even.
    it("is the same as without a rule where the zones are even", () => {
        const random = createRandom(7);
        const spill = spillOf();
        for (let round = 0; round < 500; round++) {
            const upstreams = ["a", "a", "b", "b", "c", "c"].map((zone, index) => candidateOf({ zone, ms: 50 + 8 * random() }, index));
            const noDraw = (): number => assert.fail("drew a number");
            assert.equal(chooseUpstream(upstreams, "a", noDraw, { request, spill })?.candidate, chooseUpstream(upstreams, "a")?.candidate);
        }
    });
});

describe("delay to another zone", () => {
    // Guards against a busy moment, or a way that no longer exists, that counts as the way between zones.
    it("is the shortest time of a window beyond that within the own zone", () => {
        let now = 0;
        const delays = ZoneDelays.create(() => "a", () => now);
        assert.equal(delays.delayMsTo("b"), undefined);
        [4, 0.5, 9].forEach(ms => delays.record("a", ms));
        [40, 7, 90].forEach(ms => delays.record("b", ms));
        assert.equal(delays.delayMsTo("b"), 6.5);
        now = 31_000;
        delays.record("b", 12);
        assert.equal(delays.delayMsTo("b"), 6.5);
        now = 62_000;
        delays.record("a", 0.5);
        delays.record("b", 12);
        assert.equal(delays.delayMsTo("b"), 11.5);
        now = 200_000;
        assert.equal(delays.delayMsTo("b"), undefined);
    });
});

describe("cost of traffic between zones as a setting", () => {
    const cases = [
        { value: "0", read: 0 },
        { value: "12.5", read: 12.5 },
        { value: "-1", read: undefined },
        { value: "much", read: undefined },
    ];
    for (const { value, read } of cases) {
        // Guards against a negative cost, which would send requests away from their zone.
        it(`${value ?? "missing"} is ${read ?? "refused"}`, () => {
            const result = readCrossZoneSettings({ crossZoneCost: value });
            assert.equal("faults" in result ? undefined : result.crossZoneMsPerMb, read);
        });
    }

    // Guards against a rule that applies to services whose upstreams report no pace although operators did not ask for it.
    it("is not given if it is missing", () => assert.deepEqual(readCrossZoneSettings({}), { crossZoneMsPerMb: undefined }));
});

describe("132 nodes in three zones", () => {
    const base = { nodes: 132, upstreams: 42, slots: 8, usualMs: 100, seconds: 8, paceRange: [1, 1] as const, reportsPace: false, draws: true };
    const plays = [
        { name: "one zone with too few upstreams", zones: { a: 4, b: 19, c: 19 }, requestsPerS: 1_800, seed: 1 },
        { name: "one zone without upstreams", zones: { a: 0, b: 21, c: 21 }, requestsPerS: 1_000, seed: 2 },
        { name: "even zones", zones: { a: 14, b: 14, c: 14 }, requestsPerS: 1_000, seed: 3 },
        { name: "even zones near their capacity", zones: { a: 14, b: 14, c: 14 }, requestsPerS: 2_400, seed: 4 },
    ];
    for (const { name, ...play } of plays) {
        // Guards against a rule that serves the callers of the receiving zones, or those of the zone that is left, later than no rule, and against a share that swings more.
        it(`serve the callers of no zone later than without the rule (${name})`, () => {
            const without = playUnevenUpstreams({ ...base, ...play, spills: false });
            const results = playUnevenUpstreams({ ...base, ...play, spills: true });
            for (const [zone, result] of Object.entries(results.byZone)) {
                const figures = JSON.stringify({ zone, without: without.byZone[zone], result });
                assert.ok(result.meanMs <= 1.02 * without.byZone[zone]!.meanMs, figures);
                assert.ok(result.p95Ms <= 1.02 * without.byZone[zone]!.p95Ms, figures);
                assert.ok(result.leftDeviation <= without.byZone[zone]!.leftDeviation + 0.05, figures);
            }
        });
    }

    // Guards against a zone that is too small and keeps its requests, and against one that sends all away although its own upstreams are idle.
    it("send most requests of a zone with too few upstreams away, and not all", () => {
        const { a } = playUnevenUpstreams({ ...base, ...plays[0]!, spills: true }).byZone;
        assert.ok(a!.left > 0.6 && a!.left < 0.95, JSON.stringify(a));
    });

    // Guards against requests that leave by figures that nobody renews.
    it("keep their requests in the own zone once they have heard nothing of the others for long", () => {
        const cut = playUnevenUpstreams({ ...base, zones: { a: 14, b: 14, c: 14 }, requestsPerS: 100, seed: 5, cutAtMs: 0, spills: true });
        const connected = playUnevenUpstreams({ ...base, zones: { a: 14, b: 14, c: 14 }, requestsPerS: 100, seed: 5, spills: true });
        assert.ok(cut.byZone.a!.left <= connected.byZone.a!.left + 0.02, JSON.stringify({ cut: cut.byZone.a, connected: connected.byZone.a }));
        assert.ok(cut.byZone.a!.left < 0.25, JSON.stringify(cut.byZone.a));
    });

    // Guards against a setting without effect.
    it("send fewer requests away the more the bytes may cost", () => {
        const [cheap, dear] = [0, 1_000].map(msPerMb =>
            playUnevenUpstreams({ ...base, zones: { a: 14, b: 14, c: 14 }, requestsPerS: 1_000, seed: 6, spills: true, requestBytes: 60_000, msPerMb }).byZone
                .a!
        );
        assert.ok(dear!.left < 0.5 * cheap!.left, JSON.stringify({ cheap, dear }));
    });
});

import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { assumedSpeeds } from "../src/core/assumedSpeeds";
import { chooseUpstream } from "../src/core/chooseUpstream";
import { CrashLog } from "../src/core/crashLog";
import { LearnedSpeeds } from "../src/core/learnedSpeeds";
import { RobustLine } from "../src/core/robustLine";
import { RunnerLimits } from "../src/core/runnerLimits";
import { UpstreamAvailability } from "../src/core/upstreamAvailability";
import { UpstreamDirectory } from "../src/core/upstreamDirectory";
import { UpstreamTraffic } from "../src/core/upstreamTraffic";
import type { Call } from "../src/forward/call";
import type { Gateway } from "../src/forward/gateway";
import { SpeedObserver } from "../src/forward/speedObserver";
import { FactExchange } from "../src/placement/factExchange";
import { sharedSpeeds } from "../src/placement/peerSchemas";
import { SpeedKind } from "../src/types/speedKind";
import type { UpstreamServer } from "../src/types/upstreamServer";
import { setupLogs } from "../src/utils/events";
import { createRandom } from "../src/utils/random";

setupLogs("silent");

/** Teaches step times of a service: a base and a growth with the batch, noise, and outliers of 30 times the value. */
const teachSteps = (
    speeds: LearnedSpeeds,
    stepMs: number,
    growthMs: number,
    options: { readonly outliers?: number; readonly count?: number; readonly model?: string; } = {},
): void => {
    const { outliers = 0, count = 64, model = "m" } = options;
    const random = createRandom(3);
    for (let index = 0; index < count; index++) {
        const batch = Math.floor(64 * random());
        const ms = (stepMs + growthMs * batch) * (0.95 + 0.1 * random());
        speeds.onStep("s", model, batch, random() < outliers ? 30 * ms : ms);
    }
};

const isNear = (actual: number, expected: number, tolerance: number): void =>
    assert.ok(Math.abs(actual / expected - 1) <= tolerance, `${actual} instead of ${expected}`);

describe("learned speeds", () => {
    // Guards against a speed from a handful of responses.
    it("are the assumed ones until there are enough samples", () => {
        const speeds = LearnedSpeeds.create();
        teachSteps(speeds, 11, 0.1, { count: 31 });
        assert.equal(speeds.speedsOf("s"), assumedSpeeds);
        assert.equal(speeds.factorOf("s", "m"), 1);
    });

    for (const outliers of [0, 0.15]) {
        // Guards against delayed responses that count as slow upstreams.
        it(`follow the samples with ${100 * outliers} in 100 outliers`, () => {
            const speeds = LearnedSpeeds.create();
            teachSteps(speeds, 11, 0.1, { outliers });
            isNear(speeds.speedsOf("s").stepMs, 11, 0.15);
            isNear(speeds.speedsOf("s").stepMsPerRequest, 0.1, 0.4);
            assert.equal(speeds.speedsOf("s").plainMs, assumedSpeeds.plainMs);
        });
    }

    // Guards against a time to the first event that is taken for prefill alone.
    it("take the prefill from what longer prompts add", () => {
        const speeds = LearnedSpeeds.create();
        const random = createRandom(5);
        [...Array(64).keys()].forEach(() => {
            const tokens = 100 + 9_000 * random();
            speeds.onFirstEvent("s", tokens, 40 + tokens / 19);
        });
        isNear(speeds.speedsOf("s").prefillMsPerToken, 1 / 19, 0.01);
    });

    // Guards against a prefill speed from prompts of one length, which could be anything.
    it("keep the assumed prefill if all prompts are about as long", () => {
        const speeds = LearnedSpeeds.create();
        [...Array(64).keys()].forEach(index => speeds.onFirstEvent("s", 1_000 + index, 500));
        assert.equal(speeds.speedsOf("s"), assumedSpeeds);
    });

    // Guards against a slow model that makes all models of its service slow.
    it("have a factor by model, which leaves the speed of the service as it is", () => {
        let now = 0;
        const speeds = LearnedSpeeds.create({ value: 0 }, () => now);
        for (let round = 0; round < 10; round++) {
            teachSteps(speeds, 5.5, 0.05, { model: "small" });
            now += 20_000;
        }
        isNear(speeds.factorOf("s", "small"), 1, 0.1);
        for (let index = 0; index < 40; index++) {
            speeds.onStep("s", "large", index, 2.5 * (5.5 + 0.05 * index));
        }
        isNear(speeds.factorOf("s", "large"), 2.5, 0.15);
        isNear(speeds.speedsOf("s").stepMs, 5.5, 0.1);
    });

    // Guards against a change of all machines that is counted in the speed of the service and once more in the factors.
    it("follow a change of all models by the speed of the service", () => {
        let now = 0;
        const speeds = LearnedSpeeds.create({ value: 0 }, () => now);
        for (let second = 0; second < 240; second++) {
            now = 1_000 * second;
            teachSteps(speeds, second < 120 ? 5.5 : 11, 0.05, { count: 8 });
        }
        isNear(speeds.factorOf("s", "m") * speeds.speedsOf("s").stepMs, 11, 0.2);
    });

    // Guards against values that no upstream has, from a clock that jumped or another node.
    for (const base of [0, -5, 1_000, Number.NaN]) {
        it(`ignore a step of ${base} ms`, () => {
            const speeds = LearnedSpeeds.create();
            [...Array(64).keys()].forEach(() => speeds.onStep("s", "m", 0, base));
            speeds.add({ kind: SpeedKind.Step, service: "s", base, slope: 0.05, ageMs: 0 });
            assert.equal(speeds.speedsOf("s"), assumedSpeeds);
        });
    }

    // Guards against memory that grows with the names of models.
    it("are bounded in number", () => {
        const speeds = LearnedSpeeds.create();
        [...Array(3_000).keys()].forEach(index => speeds.add({ kind: SpeedKind.Model, service: "s", model: `m${index}`, base: 2, slope: 0, ageMs: 0 }));
        assert.equal(speeds.size, 1_024);
    });

    // Guards against predictions that go on with the constants.
    it("change the predicted time", () => {
        const speeds = LearnedSpeeds.create();
        speeds.add({ kind: SpeedKind.Prefill, service: "s", base: 0, slope: 2 / 38, ageMs: 0 });
        speeds.add({ kind: SpeedKind.Step, service: "s", base: 11, slope: 0.05, ageMs: 0 });
        const base = {
            server: { availabilityZone: "a", slots: 8 } as UpstreamServer,
            traffic: UpstreamTraffic.create(() => 0),
            prefillTokens: 3_800,
            tokensPerEvent: 4,
            timeFactor: 1,
        };
        assert.equal(chooseUpstream([base], "a")!.predictedMs, 100 + 22);
        isNear(chooseUpstream([{ ...base, speeds: speeds.speedsOf("s") }], "a")!.predictedMs, 200 + 44, 0.001);
    });
});

describe("a line through samples", () => {
    // Guards against a slope from samples that differ too little in x.
    it("has a slope only if enough samples are apart", () => {
        const line = RobustLine.create(4, 0.5);
        const fits = [...Array(32).keys()].map(index => line.add(10 + index % 3, 20 + (index % 3) / 2));
        assert.deepEqual(fits.at(-1), { base: 15, slope: undefined });
        assert.ok(fits.slice(0, -1).every(fit => fit === undefined));
    });
});

describe("learned speeds of several nodes", () => {
    const createNode = () => {
        const counter = { value: 0 };
        const speeds = LearnedSpeeds.create(counter);
        const availability = UpstreamAvailability.create(UpstreamDirectory.create(), () => 0, counter);
        return { speeds, exchange: FactExchange.create(counter, CrashLog.create(counter), RunnerLimits.create(counter), availability, speeds) };
    };
    const report = (from: ReturnType<typeof createNode>, to: ReturnType<typeof createNode>): number => {
        const prepared = from.exchange.prepare("to");
        const answer = to.exchange.serve(prepared.report);
        from.exchange.onAnswer(prepared, answer);
        return (prepared.report.facts.speeds?.length ?? 0) + (answer.facts.speeds?.length ?? 0);
    };

    // Guards against a node that knows nothing after its restart, and against speeds that go round among nodes without end.
    it("reach a node that has learned nothing, once", () => {
        const [first, relay, restarted] = [createNode(), createNode(), createNode()];
        teachSteps(first.speeds, 11, 0.1);
        report(first, relay);
        report(restarted, relay);
        assert.deepEqual(restarted.speeds.speedsOf("s"), first.speeds.speedsOf("s"));
        [first, restarted].forEach(node => report(node, relay));
        assert.equal([first, restarted].reduce((sum, node) => sum + report(node, relay), 0), 0);
    });

    // Guards against traffic between nodes that grows with the samples.
    it("are told no more than once in ten seconds", () => {
        let now = 0;
        const counter = { value: 0 };
        const speeds = LearnedSpeeds.create(counter, () => now);
        for (let second = 0; second < 60; second++) {
            now = 1_000 * second;
            [...Array(32).keys()].forEach(() => speeds.onPlain("s", second % 2 === 0 ? 40 : 120));
        }
        assert.ok(counter.value >= 2 && counter.value <= 6, `${counter.value} changes`);
    });

    // Guards against a node of the last release, which has no speeds, and against an odd entry that hides the others.
    it("may be missing, and an odd entry is ignored alone", () => {
        const node = createNode();
        const { report: { facts, ...rest } } = createNode().exchange.prepare("to");
        assert.doesNotThrow(() => node.exchange.serve({ ...rest, facts: { crashes: facts.crashes, limits: facts.limits } }));
        const entry = { kind: SpeedKind.Plain, service: "s", base: 30, slope: 0, ageMs: 5 };
        assert.deepEqual(sharedSpeeds.parse([{ ...entry, kind: "other" }, entry, { ...entry, base: "30" }, 7]), [entry]);
    });
});

describe("speeds from the responses to a request", () => {
    const observe = (pace: number | undefined, waiting: number): number => {
        const learnedSpeeds = LearnedSpeeds.create();
        const traffic = UpstreamTraffic.create();
        traffic.onReportedLoad({ running: 0, waiting, slots: 8, pace });
        const candidate = { server: { slots: 8 } as UpstreamServer, traffic, prefillTokens: 0, tokensPerEvent: 1, timeFactor: 1 };
        const observer = SpeedObserver.create({ learnedSpeeds } as Gateway, { caller: {}, service: "s" } as Call);
        observer.onSend({ candidate, predictedMs: 0, prefillMs: 0 });
        observer.onHead({ running: 0, waiting, slots: 8, pace });
        return learnedSpeeds.samples;
    };
    const cases = [
        { name: "with a pace are samples", pace: 2, waiting: 0, samples: 1 },
        { name: "without a pace are none", pace: undefined, waiting: 0, samples: 0 },
        { name: "that waited at the upstream are none", pace: 2, waiting: 3, samples: 0 },
    ];
    for (const { name, pace, waiting, samples } of cases) {
        // Guards against deployments with three figures that learn, and against waits that count as work.
        it(name, () => assert.equal(observe(pace, waiting), samples));
    }
});

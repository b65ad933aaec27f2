import { install } from "@sinonjs/fake-timers";
import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { CopyPlan } from "../src/core/copyPlan";
import { CopyTurns } from "../src/core/copyTurns";
import { ModelDemand } from "../src/core/modelDemand";
import { RunnerOrderKind } from "../src/types/runner";
import { placementTestEngine as engine } from "./fakes/placementFixture";
import type { TrackedRunner } from "./fakes/trackers";
import { createTracker } from "./fakes/trackers";

const residencyMs = 5_000;

describe("models that wait for a turn", () => {
    let clock: ReturnType<typeof install>;
    beforeEach(() => clock = install({ toFake: ["setTimeout", "clearTimeout", "performance"] }));
    afterEach(() => clock.uninstall());

    // Guards against turns for models that a load in the usual order serves, as they replace copies that others use.
    it("take none while they have been without a copy for no longer than loads take", () => {
        const turns = CopyTurns.create();
        turns.add("desk", "m1");
        clock.tick(7_900);
        turns.add("desk", "m1");
        assert.deepEqual([...turns.awaitedMsOf("desk", [])], []);
    });

    it("are awaited by the time since the first request without a copy, until some time after the last one", () => {
        const turns = CopyTurns.create();
        turns.add("desk", "m1");
        clock.tick(9_000);
        turns.add("desk", "m1");
        turns.add("other", "m2");
        assert.deepEqual([...turns.awaitedMsOf("desk", [])], [["m1", 9_000]]);
        clock.tick(6_000);
        assert.deepEqual([...turns.awaitedMsOf("desk", [])], [], "a model that is no longer requested is awaited");
        turns.add("desk", "m1");
        assert.deepEqual([...turns.awaitedMsOf("desk", [])], [["m1", 15_000]], "refused callers that come back late begin anew");
    });

    it("are no longer awaited once a runner serves them", () => {
        const turns = CopyTurns.create();
        turns.add("desk", "m1");
        clock.tick(9_000);
        assert.deepEqual([...turns.awaitedMsOf("desk", [createTracker({ id: "a", models: ["m1"] })])], []);
        turns.add("desk", "m1");
        clock.tick(8_000);
        turns.add("desk", "m1");
        assert.deepEqual([...turns.awaitedMsOf("desk", [])], [["m1", 8_000]], "the time before the copy counts");
    });

    const stepsOf = (
        runners: readonly TrackedRunner[],
        workMs: Readonly<Record<string, number>>,
        awaitedMs?: ReadonlyMap<string, number>,
    ): readonly string[] => {
        const trackers = runners.map(createTracker);
        clock.tick(residencyMs);
        const demand = ModelDemand.create();
        Object.entries(workMs).forEach(([model, ms]) => demand.count(model, ms));
        const awaitedModels = new Set(awaitedMs?.keys());
        const plan = CopyPlan.create({ engine, trackers, demand, awaitedModels, awaitedMs, needs: [], mayLoadFromWeightStore: true, plannedLoads: new Map() });
        return plan.steps().map(({ kind, model, runner }) => `${kind === RunnerOrderKind.Load ? "load" : "unload"} ${model} at ${runner}`);
    };
    const full: readonly TrackedRunner[] = [{ id: "a", models: ["m1", "m2"] }, { id: "b", models: ["m3", "m5"] }];
    const cases: readonly {
        readonly name: string;
        readonly workMs: Readonly<Record<string, number>>;
        readonly awaitedMs: Readonly<Record<string, number>>;
        readonly steps: readonly string[];
    }[] = [
        { name: "do not replace one with more work at first", workMs: { m1: 900, m2: 900, m3: 900, m5: 600, m6: 50 }, awaitedMs: { m6: 0 }, steps: [] },
        {
            name: "replace the one with the least work once they have waited for long",
            workMs: { m1: 900, m2: 900, m3: 900, m5: 600, m6: 50 },
            awaitedMs: { m6: 12_000 },
            steps: ["unload m5 at b"],
        },
        {
            name: "never replace one that serves far more",
            workMs: { m1: 1_400, m2: 1_400, m3: 1_400, m5: 1_300, m6: 50 },
            awaitedMs: { m6: 600_000 },
            steps: [],
        },
        {
            name: "come in the order of their waits, though one has somewhat more work",
            workMs: { m1: 1_400, m2: 1_400, m3: 1_400, m5: 0, m6: 100, m7: 50 },
            awaitedMs: { m6: 2_000, m7: 12_000 },
            steps: ["unload m5 at b"],
        },
    ];
    cases.forEach(({ name, workMs, awaitedMs, steps }) => it(name, () => assert.deepEqual(stepsOf(full, workMs, new Map(Object.entries(awaitedMs))), steps)));

    it("do not change plans where every requested model has a copy", () => {
        for (const spread of [0, 50, 400, 3_000]) {
            const workMs = { m1: 50, m2: 50 + spread, m3: 50 + 2 * spread, m5: 10 };
            const turns = CopyTurns.create();
            Object.keys(workMs).forEach(model => turns.add("desk", model));
            clock.tick(5_000);
            const awaitedMs = turns.awaitedMsOf("desk", full.map(createTracker));
            assert.deepEqual(stepsOf(full, workMs, awaitedMs), stepsOf(full, workMs));
        }
    });
});

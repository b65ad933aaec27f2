import { install } from "@sinonjs/fake-timers";
import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import type { CopyNeed } from "../src/core/copyNeed";
import { CopyPlan } from "../src/core/copyPlan";
import { ModelDemand } from "../src/core/modelDemand";
import { boundToVersion } from "../src/core/runnerBound";
import { RunnerOrderKind } from "../src/types/runner";
import { placementTestEngine as engine } from "./fakes/placementFixture";
import type { TrackedRunner } from "./fakes/trackers";
import { createTracker } from "./fakes/trackers";

/** Time after which a model in use may be unloaded again. */
const residencyMs = 5_000;
const fill = ["m1", "m2"];

describe("a copy plan with several versions", () => {
    let clock: ReturnType<typeof install>;
    beforeEach(() => clock = install({ toFake: ["setTimeout", "clearTimeout", "performance"] }));
    afterEach(() => clock.uninstall());

    const needV1 = (model: string, firstValue = 1, secondValue = 0.12): CopyNeed => ({ model, bound: boundToVersion("v1"), firstValue, secondValue });
    const awaitedV1 = (model: string): CopyNeed => ({ ...needV1(model, 1.15, 0), delayCostPerS: 1 });
    const cases: readonly {
        readonly name: string;
        readonly runners: readonly TrackedRunner[];
        readonly needs: readonly CopyNeed[];
        /** Work that callers requested just now, by model. */
        readonly workMs?: Readonly<Record<string, number>>;
        readonly mayLoadFromWeightStore?: boolean;
        /** Loads that wait for memory, by runner. */
        readonly planned?: Readonly<Record<string, string>>;
        readonly steps: readonly string[];
    }[] = [
        {
            name: "loads a model at the version that lacks it",
            runners: [{ id: "a", softwareVersion: "v1" }, { id: "b", softwareVersion: "v1.1", models: ["m1"] }, { id: "c", softwareVersion: "v1.1" }],
            needs: [needV1("m1")],
            steps: ["load m1 at a"],
        },
        {
            name: "adds no second copy that has to come from the weight store",
            runners: [{ id: "a", softwareVersion: "v1", models: ["m1"] }, { id: "b", softwareVersion: "v1" }],
            needs: [needV1("m1")],
            steps: [],
        },
        {
            name: "adds a second copy from host memory where there is room",
            runners: [{ id: "a", softwareVersion: "v1", models: ["m1"] }, { id: "b", softwareVersion: "v1", inMemory: ["m1"] }],
            needs: [needV1("m1")],
            steps: ["load m1 at b"],
        },
        {
            name: "adds no third copy",
            runners: [
                { id: "a", softwareVersion: "v1", models: ["m1"] },
                { id: "b", softwareVersion: "v1", models: ["m1"] },
                { id: "c", softwareVersion: "v1", inMemory: ["m1"] },
            ],
            needs: [needV1("m1")],
            steps: [],
        },
        {
            name: "evicts no last copy that streams may return to for one of less value",
            runners: [{ id: "a", softwareVersion: "v1", models: fill }, { id: "b", softwareVersion: "v1.1", models: [...fill, "m4"] }],
            needs: [needV1("m1", 0.5), needV1("m2", 0.5), needV1("m3", 0.4)],
            steps: [],
        },
        {
            name: "evicts the copy that no stream may return to",
            runners: [{ id: "a", softwareVersion: "v1", models: fill }, { id: "b", softwareVersion: "v1.1", models: fill }],
            needs: [needV1("m1", 0.5), needV1("m3", 1)],
            steps: ["unload m2 at a"],
        },
        {
            name: "keeps to the limit of loads from the weight store",
            runners: [{ id: "a", softwareVersion: "v1" }, { id: "b", softwareVersion: "v1.1", models: ["m1"] }],
            needs: [needV1("m1")],
            mayLoadFromWeightStore: false,
            steps: [],
        },
        {
            name: "loads what streams wait for where it is at hand, though it takes the place of a model in use",
            runners: [
                { id: "a", softwareVersion: "v1", models: ["m5", "m6"] },
                { id: "b", softwareVersion: "v1", models: ["m2", "m3"], inMemory: ["m1"] },
            ],
            needs: [awaitedV1("m1"), needV1("m3", 0.2), needV1("m2", 0.2)],
            steps: ["unload m2 at b"],
        },
        {
            name: "unloads a model without requests for what streams wait for, rather than one whose streams last",
            runners: [{ id: "a", softwareVersion: "v1", models: fill }, { id: "b", softwareVersion: "v1", models: ["m3", "m5"] }],
            needs: [awaitedV1("m9"), needV1("m3", 0.6), needV1("m5", 0.6)],
            workMs: { m1: 4, m2: 4 },
            steps: ["unload m3 at b"],
        },
        {
            name: "loads what streams wait for at their version first, though another version has room",
            runners: [{ id: "a", softwareVersion: "v1.1" }, { id: "b", softwareVersion: "v1", models: ["m2", "m3"] }],
            needs: [awaitedV1("m1"), needV1("m2", 0.2), needV1("m3", 0.2)],
            workMs: { m1: 100 },
            steps: ["unload m2 at b"],
        },
        {
            name: "unloads a model in use that another runner has, though one without requests that streams may return to would be faster",
            runners: [{ id: "a", softwareVersion: "v1", models: ["m2", "m3"] }, { id: "b", softwareVersion: "v1.1", models: ["m3"] }],
            needs: [awaitedV1("m1"), needV1("m2", 1.1, 0)],
            workMs: { m3: 2 },
            steps: ["unload m3 at a"],
        },
        ...[
            { what: "loads what streams wait for at a runner with room", room: "v1", steps: ["load m9 at c"] },
            { what: "loads what streams wait for at no other version", room: "v1.1", steps: [] },
        ].map(({ what, room, steps }) => ({
            name: `${what} while its planned copy waits for memory`,
            runners: [
                { id: "a", softwareVersion: "v1", models: fill, isBusy: true },
                { id: "b", softwareVersion: "v1", models: ["m5", "m6"] },
                { id: "c", softwareVersion: room },
            ],
            needs: [awaitedV1("m9"), needV1("m5", 0.2), needV1("m6", 0.2)],
            planned: { a: "m9" },
            steps,
        })),
    ];
    cases.forEach(({ name, runners, needs, workMs = {}, mayLoadFromWeightStore = true, planned = {}, steps }) =>
        it(name, () => {
            const trackers = runners.map(createTracker);
            clock.tick(residencyMs);
            const demand = ModelDemand.create();
            Object.entries(workMs).forEach(([model, ms]) => demand.count(model, ms));
            const plan = CopyPlan.create({
                engine,
                trackers,
                demand,
                awaitedModels: new Set(),
                needs,
                mayLoadFromWeightStore,
                plannedLoads: new Map(Object.entries(planned)),
            });
            assert.deepEqual(
                plan.steps().map(({ kind, model, runner }) => `${kind === RunnerOrderKind.Load ? "load" : "unload"} ${model} at ${runner}`),
                steps,
            );
        })
    );

    it("keeps to a planned load while one of its victims is worth less, though another would be faster to unload", () => {
        const trackers = [{ id: "a", softwareVersion: "v1", models: ["m2", "m3"] }, { id: "b", softwareVersion: "v1.1", models: ["m3"] }].map(createTracker);
        clock.tick(residencyMs);
        const demand = ModelDemand.create();
        demand.count("m3", 2);
        const needs = [awaitedV1("m1"), needV1("m2", 1.4, 0)];
        const plannedLoads = new Map([["a", "m1"]]);
        const plan = CopyPlan.create({ engine, trackers, demand, awaitedModels: new Set(), needs, mayLoadFromWeightStore: true, plannedLoads });
        assert.equal(plan.stepFor(engine.models.get("m1")!, trackers[0]!)?.model, "m3");
    });
});

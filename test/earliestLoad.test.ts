import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { earliestLoadMs } from "../src/core/earliestLoad";
import { WeightStoreLimiter } from "../src/core/weightStoreLimiter";
import { UpstreamState } from "../src/types/upstreamServer";
import { placementTestEngine as engine } from "./fakes/placementFixture";
import type { TrackedRunner } from "./fakes/trackers";
import { createTracker } from "./fakes/trackers";

const spec = (name: string) => engine.models.get(name)!;
const fill = ["m1", "m2"];

describe("the estimate of the earliest load", () => {
    const cases: readonly {
        readonly name: string;
        readonly runner: TrackedRunner;
        readonly weightStoreMs?: number;
        readonly expectedMs: number | undefined;
    }[] = [
        { name: "does not count a runner that could have been ordered at once", runner: { id: "a" }, expectedMs: undefined },
        { name: "waits for a runner that works on an order", runner: { id: "a", isBusy: true }, expectedMs: 150 + spec("m1").loadMs },
        { name: "waits for the first report of a runner", runner: { id: "a", hasReport: false }, expectedMs: 150 + spec("m1").loadMs },
        { name: "waits for the weight store", runner: { id: "a" }, weightStoreMs: 900, expectedMs: 900 + spec("m1").loadMs },
        {
            name: "does not wait for the weight store if the weights are at hand",
            runner: { id: "a", inMemory: ["m1"] },
            weightStoreMs: 900,
            expectedMs: undefined,
        },
        { name: "adds the time of an unload", runner: { id: "a", models: fill, isBusy: true }, expectedMs: 150 + 300 + spec("m3").loadMs },
        { name: "does not count a runner that leaves", runner: { id: "a", isBusy: true, state: UpstreamState.Draining }, expectedMs: undefined },
    ];
    cases.forEach(({ name, runner, weightStoreMs = 0, expectedMs }) =>
        it(name, () => {
            const model = runner.models ? spec("m3") : spec("m1");
            const ms = earliestLoadMs(model, [createTracker(runner)], engine, () => 0, { weightStoreMs, reportMs: 150, now: 0 });
            assert.equal(ms, expectedMs);
        })
    );
});

describe("the limiter of loads from the weight store", () => {
    it("tells when one more load may start", () => {
        let now = 0;
        const limiter = WeightStoreLimiter.create(1_000, () => now);
        const delays: number[] = [];
        for (const at of [0, 100, 200]) {
            now = at;
            delays.push(limiter.delayMs(2));
            limiter.count();
        }
        assert.deepEqual(delays, [0, 0, 800]);
        now = 900;
        // Three loads in a window that admits two: both of the older ones have to expire.
        assert.equal(limiter.delayMs(2), 200);
        now = 1_100;
        assert.equal(limiter.delayMs(2), 0);
        assert.equal(limiter.mayStartLoad(2), true);
    });
});

import { install } from "@sinonjs/fake-timers";
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { setupLogs } from "../src/utils/events";
import { createRandom, pick } from "../src/utils/random";
import { platformTestSettings } from "./fakes/gatewayHarness";
import { PlacementFixture, placementTestEngine as engine, placementTestService as service } from "./fakes/placementFixture";
import type { SimulatedPlatformRunner } from "./fakes/simulatedPlatformRunner";

const stepMs = 50;

/** Maximum number of loads from the weight store that start in any window. */
const maxStarts = (runners: Iterable<SimulatedPlatformRunner>, windowMs: number): number => {
    const starts = [...runners].flatMap(({ storeLoads }) => storeLoads).sort((a, b) => a - b);
    return starts.reduce((most, start, index) => Math.max(most, starts.slice(index).filter(other => other < start + windowMs).length), 0);
};

describe("placement", () => {
    let clock: ReturnType<typeof install>;
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));

    const withClock = async (run: () => Promise<void>): Promise<void> => {
        clock = install({ toFake: ["setTimeout", "clearTimeout", "setInterval", "clearInterval", "Date", "performance"] });
        try {
            await run();
        }
        finally {
            clock.uninstall();
        }
    };

    for (const seed of [1, 2, 3, 4, 5, 6]) {
        it(`keeps the limits of memory, adapter slots and the weight store's rate while orders are late and runners restart (seed ${seed})`, () =>
            withClock(async () => {
                const { runners, controller, control, publish } = await PlacementFixture.start(seed);
                const random = createRandom(seed + 100);
                control.lossShare = 0.3;
                let first = 0;
                let placed = 0;
                for (let step = 0; step < 1_600; step++) {
                    await clock.tickAsync(stepMs);
                    if (step % 200 === 0) {
                        first = Math.floor(random() * engine.models.size);
                    }
                    const model = `m${(first + Math.floor(random() * 4)) % engine.models.size}`;
                    controller.countWork([{ artifact: model, workMs: 100, idleMs: 0 }]);
                    const adapter = random() < 0.5 ? `a${Math.floor(random() * 10)}` : undefined;
                    void controller.place({ service, model, adapter, avoid: [], unreachable: [] }).then(({ runner }) => placed += runner === undefined ? 0 : 1);
                    if (random() < 0.005) {
                        const runner = pick([...runners.values()], random)!;
                        runner.restart();
                        publish(runner);
                    }
                }
                assert.deepEqual([...runners.values()].flatMap(({ violations }) => violations), []);
                const { loadWindowMs } = platformTestSettings;
                assert.ok(maxStarts(runners.values(), loadWindowMs) <= engine.loadsPerS * loadWindowMs / 1_000 * 1.1 + 3);
                assert.ok(placed > 300, `${placed} placed`);
            }));
    }

    it("loads a requested model without a copy in place of the least loaded one", () =>
        withClock(async () => {
            const { runners, controller } = await PlacementFixture.start(1, 2);
            await clock.tickAsync(1_000);
            const answers = [await controller.place({ service, model: "m9", avoid: [], unreachable: [] })];
            await clock.tickAsync(5_000);
            answers.push(await controller.place({ service, model: "m9", avoid: [], unreachable: [] }));
            assert.equal(answers[0]!.isComing, true);
            assert.notEqual(answers[1]!.runner, undefined);
            assert.ok([...runners.values()].some(({ models }) => models.has("m9")));
        }));

    it("adds copies on idle runners for a model with more demand than one runner can serve", () =>
        withClock(async () => {
            const { runners, controller } = await PlacementFixture.start(2);
            for (let step = 0; step < 400; step++) {
                await clock.tickAsync(stepMs);
                controller.countWork([{ artifact: "m1", workMs: 70, idleMs: 0 }]);
            }
            const copies = [...runners.values()].filter(({ models }) => models.has("m1")).length;
            assert.ok(copies >= 3, `${copies} copies for 1.4 runners' work`);
        }));

    it("follows a shift of demand to a model with several copies at a time, although memory has to be freed for each", () =>
        withClock(async () => {
            // Every runner is full; m1 has one copy and suddenly four runners' work.
            const large = ["m1", "m2", "m3", "m5", "m6", "m7", "m9", "m10", "m11", "m13"];
            const { runners, controller } = await PlacementFixture.start(
                2,
                10,
                index => [large[index]!, large[(index + 3) % 10 === 0 ? 4 : (index + 3) % 10]!],
            );
            await clock.tickAsync(1_000);
            for (let step = 0; step < 7_000 / stepMs; step++) {
                await clock.tickAsync(stepMs);
                controller.countWork([{ artifact: "m1", workMs: 4 * stepMs, idleMs: 0 }]);
            }
            const copies = [...runners.values()].filter(({ models }) => models.has("m1")).length;
            assert.ok(copies >= 4, `${copies} copies after 7 s`);
        }));

    it("reloads a model that lost all runners, although its demand exceeds one runner", () =>
        withClock(async () => {
            const { runners, controller, publish } = await PlacementFixture.start(4);
            const holders = (): readonly SimulatedPlatformRunner[] => [...runners.values()].filter(({ models }) => models.has("m9"));
            const request = async (steps: number): Promise<void> => {
                for (let step = 0; step < steps; step++) {
                    await clock.tickAsync(stepMs);
                    controller.countWork([{ artifact: "m9", workMs: 90, idleMs: 0 }]);
                    void controller.place({ service, model: "m9", avoid: [], unreachable: [] });
                }
            };
            await request(300);
            holders().forEach(runner => {
                runner.restart();
                publish(runner);
            });
            await request(120);
            assert.ok(holders().length >= 1, "no copy 6 s later");
        }));

    it("does not unload the last copy of a model without demand for a small advantage", () =>
        withClock(async () => {
            const held = [["m1", "m2"], ["m3", "m5"]];
            const { runners, controller } = await PlacementFixture.start(6, 2, index => held[index]!);
            for (let step = 0; step < 200; step++) {
                await clock.tickAsync(stepMs);
                controller.countWork([{ artifact: "m1", workMs: 27, idleMs: 0 }]);
            }
            assert.deepEqual([...runners.values()].map(({ models }) => [...models.keys()].sort()), held);
        }));

    it("loads a model elsewhere if a node cannot reach its only runner", () =>
        withClock(async () => {
            const { runners, controller, control } = await PlacementFixture.start(5);
            await clock.tickAsync(1_000);
            const [lost] = [...runners.values()].filter(({ models }) => models.has("m3"));
            control.unreachableRunners.add(lost!.id);
            const request = { service, model: "m3", avoid: [lost!.id], unreachable: [lost!.id] };
            const first = await controller.place(request);
            assert.equal(first.isComing, true, "a report of the runner is requested first");
            await clock.tickAsync(400);
            await controller.place(request);
            await clock.tickAsync(500);
            const holders = [...runners.values()].filter(({ id, isBusy }) => isBusy && id !== lost!.id);
            assert.equal((await controller.place(request)).isComing, true);
            assert.notEqual(holders.length, 0, "nothing is loaded 0.9 s later");
        }));

    it("refuses an unknown model at once", () =>
        withClock(async () => {
            const { controller } = await PlacementFixture.start(3);
            await clock.tickAsync(500);
            assert.deepEqual(await controller.place({ service, model: "nobody", avoid: [], unreachable: [] }), {
                readyInMs: 1_000,
                isComing: false,
                isUncertain: false,
            });
        }));
});

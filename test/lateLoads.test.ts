import { install } from "@sinonjs/fake-timers";
import assert from "node:assert/strict";
import { after, afterEach, before, beforeEach, describe, it } from "node:test";
import { LateLoads } from "../src/core/lateLoads";
import { setupLogs } from "../src/utils/events";
import { createRandom, pick } from "../src/utils/random";
import { PlacementFixture, placementTestEngine as engine, placementTestService as service } from "./fakes/placementFixture";

const stepMs = 50;
/** A runner's row is removed after three of its heartbeats. */
const lapseMs = 3_600;

describe("loads that a runner may still execute", () => {
    const size = { memoryMb: 70, adapterSlots: 1 };
    const nothing = { memoryMb: 0, adapterSlots: 0 };
    const first = { runner: "r", bornAt: 1, order: "3 m" };
    type Step = (loads: LateLoads) => void;
    const send = (name = first): Step => loads => loads.onSent(name, size);
    const answer = (name = first): Step => loads => loads.onAnswered(name);
    let now = 0;
    const wait = (ms: number): Step => () => void (now += ms);

    const cases: readonly { readonly name: string; readonly steps: readonly Step[]; readonly bornAt: number; readonly reserved: typeof size; }[] = [
        { name: "take up nothing at the process that they were sent to", steps: [send()], bornAt: 1, reserved: nothing },
        { name: "are kept free at the next process", steps: [send()], bornAt: 2, reserved: size },
        { name: "are not kept free once they were answered", steps: [send(), answer()], bornAt: 2, reserved: nothing },
        { name: "count once for two copies", steps: [send(), send()], bornAt: 2, reserved: size },
        { name: "are kept free while one of two copies has not been answered", steps: [send(), send(), answer()], bornAt: 2, reserved: size },
        { name: "are kept free for less than 15 s", steps: [send(), wait(14_999)], bornAt: 2, reserved: size },
        { name: "are not kept free once no copy can arrive", steps: [send(), wait(15_000)], bornAt: 2, reserved: nothing },
        {
            name: "add up over several processes of the runner",
            steps: [send(), send({ ...first, bornAt: 2 }), send({ ...first, bornAt: 3 })],
            bornAt: 3,
            reserved: { memoryMb: 140, adapterSlots: 2 },
        },
        { name: "do not concern another runner", steps: [send({ ...first, runner: "other" })], bornAt: 2, reserved: nothing },
        {
            name: "are passed on to the next controller with the time that is left",
            steps: [send(), wait(10_000), loads => {
                const next = LateLoads.create(() => now);
                loads.durable.forEach(load => next.add(load));
                assert.deepEqual(next.reservedFor("r", 2), size);
                now += 5_000;
                assert.deepEqual(next.reservedFor("r", 2), nothing);
            }],
            bornAt: 2,
            reserved: nothing,
        },
        {
            name: "are not extended by what the row says of this controller's own",
            steps: [send(), wait(10_000), loads => loads.durable.forEach(load => loads.add({ ...load, forMs: 15_000 })), wait(5_000)],
            bornAt: 2,
            reserved: nothing,
        },
    ];
    for (const { name, steps, bornAt, reserved } of cases) {
        it(name, () => {
            now = 0;
            const loads = LateLoads.create(() => now);
            steps.forEach(step => step(loads));
            assert.deepEqual(loads.reservedFor("r", bornAt), reserved);
        });
    }
});

/** Guards against a late order that overfills a runner which has restarted under its ID, after the controller had forgotten the order. */
describe("memory of a restarted runner", () => {
    let clock: ReturnType<typeof install>;
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));
    beforeEach(() => clock = install({ toFake: ["setTimeout", "clearTimeout", "setInterval", "clearInterval", "Date", "performance"] }));
    afterEach(() => clock.uninstall());

    interface Case {
        readonly name: string;
        /** How long the runner is down. */
        readonly downMs: number;
        readonly isRowRemoved: boolean;
        readonly isControllerReplaced: boolean;
    }
    const cases: readonly Case[] = [
        { name: "is down for a moment", downMs: 500, isRowRemoved: false, isControllerReplaced: false },
        { name: "is down until its row is removed", downMs: 4_300, isRowRemoved: true, isControllerReplaced: false },
        { name: "is down while the controller is replaced", downMs: 500, isRowRemoved: false, isControllerReplaced: true },
        { name: "is down until its row is removed, and the controller is replaced", downMs: 4_300, isRowRemoved: true, isControllerReplaced: true },
    ];
    for (const { name, downMs, isRowRemoved, isControllerReplaced } of cases) {
        it(`is kept free for a late load if the runner ${name}`, async () => {
            // A load is sent as the third order. After the restart the runner's third order would be that load, beside two models of 72 GB in 200 GB.
            const fixture = await PlacementFixture.start(1, 1, () => []);
            const { control, publish, withdraw } = fixture;
            const [runner] = [...fixture.runners.values()];
            const ask = async (models: readonly string[], ms: number, workMs = 0): Promise<void> => {
                for (let passedMs = 0; passedMs < ms; passedMs += stepMs) {
                    models.forEach(model => {
                        fixture.controller.countWork([{ artifact: model, workMs, idleMs: 0 }]);
                        void fixture.controller.place({ service, model, avoid: [], unreachable: [] });
                    });
                    await clock.tickAsync(stepMs);
                }
            };
            await ask(["m0"], 4_000);
            await ask(["m4"], 4_000);
            assert.equal(runner!.acceptedOrders, 2);
            control.lossShare = 1;
            control.lateOrderMs = { min: 12_000, max: 12_000 };
            await ask(["m1"], 150);
            control.lossShare = 0;
            if (isControllerReplaced) {
                await fixture.replaceController();
            }
            control.unreachableRunners.add(runner!.id);
            if (isRowRemoved) {
                setTimeout(() => withdraw(runner!), lapseMs);
            }
            await ask([], downMs);
            runner!.restart();
            publish(runner!);
            control.unreachableRunners.delete(runner!.id);
            await ask(["m2", "m3"], 30_000, 20);
            assert.deepEqual(runner!.violations, []);
            assert.ok(runner!.models.has("m2") && runner!.models.has("m3"), "both models are loaded in the end");
        });
    }

    for (const seed of [1, 2, 3, 4, 5, 6]) {
        it(`is never exceeded while orders are late, rows are removed and controllers replaced (seed ${seed})`, async () => {
            const fixture = await PlacementFixture.start(seed);
            const { runners, control, publish, withdraw } = fixture;
            const random = createRandom(seed + 200);
            control.lossShare = 0.5;
            let firstModel = 0;
            for (let step = 0; step < 2_400; step++) {
                await clock.tickAsync(stepMs);
                if (step % 60 === 0) {
                    firstModel = Math.floor(random() * engine.models.size);
                }
                const model = `m${(firstModel + Math.floor(random() * 5)) % engine.models.size}`;
                const adapter = random() < 0.4 ? `a${Math.floor(random() * 10)}` : undefined;
                fixture.controller.countWork([{ artifact: model, workMs: 150, idleMs: 0 }]);
                void fixture.controller.place({ service, model, adapter, avoid: [], unreachable: [] });
                if (random() < 0.02) {
                    const runner = pick([...runners.values()], random)!;
                    const downMs = random() * 7_000;
                    control.unreachableRunners.add(runner.id);
                    if (downMs > lapseMs) {
                        setTimeout(() => withdraw(runner), lapseMs);
                    }
                    setTimeout(() => {
                        runner.restart();
                        publish(runner);
                        control.unreachableRunners.delete(runner.id);
                    }, downMs);
                }
                if (random() < 0.004) {
                    await fixture.replaceController();
                }
            }
            assert.deepEqual([...runners.values()].flatMap(({ violations }) => violations), []);
        });
    }
});

import { install } from "@sinonjs/fake-timers";
import assert from "node:assert/strict";
import { after, afterEach, before, beforeEach, describe, it } from "node:test";
import type { PlacementRequest } from "../src/types/placement";
import { setupLogs } from "../src/utils/events";
import { createRandom, pick } from "../src/utils/random";
import { platformTestSettings } from "./fakes/gatewayHarness";
import { PlacementFixture, placementTestEngine as engine, placementTestService as service } from "./fakes/placementFixture";
import type { SimulatedPlatformRunner } from "./fakes/simulatedPlatformRunner";

const stepMs = 50;
/** A stream that is taken up has about this long to go on. */
const takeUpMs = 6_000;
const modelCount = 4;
/** Index of a runner of the fixture. */
const indexOf = (id: string): number => Number(id.slice(1));
const modelOf = (index: number): string => `m${index % modelCount}`;

/** Take-ups of streams of one model at one software version, as nodes place them until they may send or are refused. */
class TakeUps {
    ready = 0;
    refused = 0;

    async run(
        count: number,
        place: (node: number) => Promise<{ readonly isReady: boolean; readonly mayWait: boolean; }>,
        tick: () => Promise<void>,
    ): Promise<void> {
        let waiting = [...Array(count).keys()];
        for (let passedMs = 0; passedMs < takeUpMs && waiting.length > 0; passedMs += stepMs) {
            const answers = await Promise.all(waiting.map(async node => ({ node, answer: await place(node) })));
            this.ready += answers.filter(({ answer }) => answer.isReady).length;
            this.refused += answers.filter(({ answer }) => !answer.isReady && !answer.mayWait).length;
            waiting = answers.filter(({ answer }) => !answer.isReady && answer.mayWait).map(({ node }) => node);
            await tick();
        }
        this.refused += waiting.length;
    }
}

const startsPerWindow = (runners: Iterable<SimulatedPlatformRunner>, windowMs: number): number => {
    const starts = [...runners].flatMap(({ storeLoads }) => storeLoads);
    return Math.max(0, ...starts.map(start => starts.filter(at => at >= start && at < start + windowMs).length));
};

describe("placement in a release", () => {
    let clock: ReturnType<typeof install>;
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));
    beforeEach(() => clock = install({ toFake: ["setTimeout", "clearTimeout", "setInterval", "clearInterval", "Date", "performance"] }));
    afterEach(() => clock.uninstall());

    const softwareVersionOf = (index: number): string => index % 2 === 0 ? "v1" : "v1.1";

    const cases = [true, false].flatMap(namesVersion => [7, 195].flatMap(nodeCount => [1, 2, 3, 4, 5].map(seed => ({ namesVersion, nodeCount, seed }))));
    for (const { namesVersion, nodeCount, seed } of cases) {
        const nodes = `${nodeCount} nodes${namesVersion ? "" : " of an earlier release"}`;
        it(`lets streams go on at their version after its only runner with the model crashed (${nodes}, seed ${seed})`, async () => {
            const runnerCount = Math.max(8, Math.ceil(nodeCount / 8));
            const random = createRandom(seed);
            // Each model has one copy at each version; the other runners have none of these models.
            const heldBy = (index: number): readonly string[] => index < 2 * modelCount ? [modelOf(Math.floor(index / 2))] : [];
            const { runners, controller, control, withdraw } = await PlacementFixture.start(seed, runnerCount, heldBy, {
                softwareVersionOf,
                isResumable: true,
            });
            const demand = (): void =>
                [...Array(modelCount).keys()].forEach(index => controller.countWork([{ artifact: modelOf(index), workMs: 15, idleMs: 0 }]));
            for (let passedMs = 0; passedMs < 2_000; passedMs += stepMs) {
                demand();
                await clock.tickAsync(stepMs);
            }
            const version = pick(["v1", "v1.1"], random)!;
            const model = modelOf(Math.floor(random() * modelCount));
            for (const runner of runners.values()) {
                if (softwareVersionOf(indexOf(runner.id)) === version && runner.models.has(model)) {
                    control.unreachableRunners.add(runner.id);
                    withdraw(runner);
                }
            }
            const loadsBefore = [...runners.values()].reduce((sum, { acceptedOrders }) => sum + acceptedOrders, 0);
            const takeUps = new TakeUps();
            const others = [...runners.keys()].filter(id => softwareVersionOf(indexOf(id)) !== version);
            const tried = new Map<number, string[]>();
            await takeUps.run(nodeCount, async node => {
                const ownTried = tried.get(node) ?? [];
                const req: PlacementRequest = namesVersion
                    ? { service, model, versions: { only: version, excluded: [] }, avoid: ownTried, unreachable: ownTried }
                    : { service, model, avoid: [...others, ...ownTried], unreachable: ownTried };
                const { runner, readyInMs, isComing } = await controller.place(req);
                if (runner !== undefined && control.unreachableRunners.has(runner)) {
                    tried.set(node, [...ownTried, runner]);
                    return { isReady: false, mayWait: true };
                }
                const isOfVersion = runner !== undefined && softwareVersionOf(indexOf(runner)) === version;
                return { isReady: isOfVersion && readyInMs === 0, mayWait: isComing && (runner === undefined || isOfVersion) };
            }, () => clock.tickAsync(stepMs).then(demand));
            const ordersForIt = [...runners.values()].reduce((sum, { acceptedOrders }) => sum + acceptedOrders, 0) - loadsBefore;
            assert.deepEqual({ ready: takeUps.ready, refused: takeUps.refused }, { ready: nodeCount, refused: 0 });
            assert.deepEqual([...runners.values()].flatMap(({ violations }) => violations), []);
            assert.ok(startsPerWindow(runners.values(), platformTestSettings.loadWindowMs) <= engine.loadsPerS * platformTestSettings.loadWindowMs / 1_000);
            assert.ok(ordersForIt <= 2 * modelCount, `${ordersForIt} orders`);
        });
    }

    it("loads another copy at a stream's version if the runner with the only one does not take it", async () => {
        const heldBy = (index: number): readonly string[] => index < 2 ? ["m1"] : [];
        const { controller } = await PlacementFixture.start(1, 6, heldBy, { softwareVersionOf, isResumable: true });
        await clock.tickAsync(1_000);
        let runner: string | undefined;
        for (let passedMs = 0; passedMs < takeUpMs && runner === undefined; passedMs += stepMs) {
            const versions = { only: "v1", excluded: [] };
            const answer = await controller.place({ service, model: "m1", versions, avoid: ["r0"], unreachable: [] });
            assert.ok(answer.isComing);
            runner = answer.readyInMs === 0 ? answer.runner : undefined;
            await clock.tickAsync(stepMs);
        }
        assert.ok(runner !== undefined && runner !== "r0" && softwareVersionOf(indexOf(runner)) === "v1", `placed at ${runner}`);
    });

    it("loads what streams wait for before a model for which memory was being freed as they came back", async () => {
        const heldBy = (index: number): readonly string[] => [["m1", "m7"], ["m1", "m6"], ["m2", "m3"]][index]!;
        const { controller, control, runners, withdraw } = await PlacementFixture.start(1, 3, heldBy, { softwareVersionOf, isResumable: true });
        const [crashed, , left] = [...runners.values()];
        await clock.tickAsync(4_500);
        // The runner that is left frees memory for a model that no runner has.
        controller.countWork(["m1", "m5", "m6", "m7"].map(artifact => ({ artifact, workMs: 400, idleMs: 0 })));
        await clock.tickAsync(2 * stepMs);
        assert.ok(left!.isBusy);
        control.unreachableRunners.add(crashed!.id);
        withdraw(crashed!);
        let runner: string | undefined;
        let waitedMs = 0;
        for (; waitedMs < takeUpMs && runner === undefined; waitedMs += stepMs) {
            const versions = { only: "v1", excluded: [] };
            const answer = await controller.place({ service, model: "m1", versions, avoid: [crashed!.id], unreachable: [crashed!.id] });
            runner = answer.readyInMs === 0 ? answer.runner : undefined;
            await clock.tickAsync(stepMs);
        }
        assert.ok(runner === left!.id && waitedMs < 5_000, `placed at ${runner} after ${waitedMs} ms`);
    });

    it("loads no second copy for a release alone", async () => {
        const { runners } = await PlacementFixture.start(1, 8, index => index < modelCount ? [modelOf(index)] : [], { softwareVersionOf, isResumable: true });
        await clock.tickAsync(20_000);
        assert.deepEqual([...runners.values()].map(({ acceptedOrders }) => acceptedOrders), Array(8).fill(0));
    });

    for (const seed of [1, 2, 3, 4, 5, 6]) {
        it(`sends the same orders with and without streams that may return while all runners have one version (seed ${seed})`, async () => {
            const play = async (isResumable: boolean, version: string | undefined): Promise<readonly string[]> => {
                const { runners, controller, publish } = await PlacementFixture.start(seed, 6, undefined, { isResumable, softwareVersionOf: () => version });
                const random = createRandom(seed + 100);
                const orders: string[] = [];
                for (const runner of runners.values()) {
                    const apply = runner.applyOrder.bind(runner);
                    runner.applyOrder = order => {
                        orders.push(`${Math.round(performance.now())} ${runner.id} ${order.kind} ${order.model}`);
                        return apply(order);
                    };
                }
                const startedAt = performance.now();
                for (let step = 0; step < 600; step++) {
                    await clock.tickAsync(stepMs);
                    const model = `m${Math.floor(random() * 5)}`;
                    controller.countWork([{ artifact: model, workMs: 100, idleMs: 0 }]);
                    const versions = version === undefined ? undefined : { only: version, excluded: [] };
                    void controller.place({ service, model, versions, avoid: [], unreachable: [] });
                    if (step % 100 === 50) {
                        const runner = [...runners.values()][Math.floor(random() * runners.size)]!;
                        runner.restart();
                        publish(runner);
                    }
                }
                return orders.map(order => `${Number(order.split(" ", 1)[0]) - Math.round(startedAt)}${order.slice(order.indexOf(" "))}`);
            };
            const withoutStreams = await play(false, undefined);
            clock.uninstall();
            clock = install({ toFake: ["setTimeout", "clearTimeout", "setInterval", "clearInterval", "Date", "performance"] });
            const withStreams = await play(true, "v1");
            assert.ok(withoutStreams.length > 5, `${withoutStreams.length} orders`);
            assert.deepEqual(withStreams, withoutStreams);
        });
    }
});

import { install } from "@sinonjs/fake-timers";
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { ControllerLease } from "../src/core/controllerLease";
import { controllerLeaseTtlMs, maxOrderDeliveryMs } from "../src/core/controllerRow";
import { LeaseVacancy } from "../src/core/leaseVacancy";
import { takeoverDelayMs } from "../src/core/takeoverDelay";
import { setupLogs } from "../src/utils/events";
import { createRandom } from "../src/utils/random";
import { leaseTestRules as rules, leaseTestRunners as runners, simulateLeases, stepMs, violationsOf } from "./fakes/leaseSimulation";
import { MemoryPlatformStore } from "./fakes/memoryPlatformStore";

const createPair = (): readonly [MemoryPlatformStore, ControllerLease, ControllerLease] => {
    const store = MemoryPlatformStore.create(createRandom(1));
    store.lossShare = 0;
    const create = (name: string): ControllerLease => ControllerLease.create(store, { holder: name, boot: name, peerAddress: name }, rules);
    return [store, create("a"), create("b")];
};

describe("controller lease", () => {
    let clock: ReturnType<typeof install>;
    before(() => {
        setupLogs("silent");
        clock = install({ toFake: ["setTimeout", "clearTimeout", "Date", "performance"] });
    });
    after(() => {
        clock.uninstall();
        setupLogs("info");
    });

    for (const seed of [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16]) {
        it(`keeps the gap between orders of two holders to one runner, with increasing epochs (seed ${seed})`, async () => {
            const orders = await simulateLeases(seed, clock);
            assert.ok(orders.length > 300, `${orders.length} orders`);
            assert.deepEqual(violationsOf(orders), []);
        });
    }

    for (const seed of [21, 22, 23, 24, 25, 26, 27, 28, 29, 30, 31, 32, 33, 34, 35, 36]) {
        it(`keeps the gap and increasing epochs while the store is restored from older copies (seed ${seed})`, async () => {
            const orders = await simulateLeases(seed, clock, {}, true);
            assert.ok(orders.length > 100, `${orders.length} orders`);
            assert.deepEqual(violationsOf(orders), []);
        });
    }

    it("fails the simulation if the gap is set to 0", async () => {
        const violations: string[] = [];
        for (const seed of [1, 2, 3]) {
            violations.push(...violationsOf(await simulateLeases(seed, clock, { turnGapMs: 0 })));
        }
        assert.notEqual(violations.length, 0);
    });

    it("lets the successor of a lost holder send orders at once, except to runners that the holder had a runner lease for", async () => {
        const [store, first, second] = createPair();
        await first.tick();
        await clock.tickAsync(stepMs);
        assert.equal(await first.acquireRunnerLease("r1", false), true);
        const runnerLeaseAt = performance.now();
        await clock.tickAsync(controllerLeaseTtlMs - stepMs);
        await second.tick();
        assert.equal(second.heldEpoch, undefined, "before the lease expires");
        await clock.tickAsync(2 * stepMs);
        await second.tick();
        assert.notEqual(second.heldEpoch, undefined, "after the lease has expired");
        assert.deepEqual([await second.acquireRunnerLease("r1", false), await second.acquireRunnerLease("r2", false)], [false, true]);
        while (!second.mayOrder("r1")) {
            await clock.tickAsync(stepMs);
            await second.tick();
        }
        const waitedMs = performance.now() - runnerLeaseAt;
        assert.ok(waitedMs >= rules.turnGapMs + maxOrderDeliveryMs && waitedMs < rules.turnGapMs + maxOrderDeliveryMs + 1_000, `${waitedMs} ms`);
        assert.ok(store.nowMs > 0);
    });

    it("leaves a vacant lease to a larger node for a while, and takes it if there is none", async () => {
        const store = MemoryPlatformStore.create(createRandom(1));
        store.lossShare = 0;
        const create = (name: string, cores: number): ControllerLease =>
            ControllerLease.create(store, { holder: name, boot: name, peerAddress: name }, rules, LeaseVacancy.create(() => takeoverDelayMs(cores, 1.35)));
        const [small, large] = [create("small", 0.324), create("large", 1.35)];
        await small.tick();
        assert.equal(small.heldEpoch, undefined, "small node at once");
        await large.tick();
        assert.notEqual(large.heldEpoch, undefined, "large node at once");
        await large.release();
        await small.tick();
        await clock.tickAsync(takeoverDelayMs(0.324, 1.35) - stepMs);
        await small.tick();
        assert.equal(small.heldEpoch, undefined, "small node before its delay has passed");
        await clock.tickAsync(2 * stepMs);
        await small.tick();
        assert.notEqual(small.heldEpoch, undefined, "small node after its delay has passed");
    });

    it("does not grant a runner lease that the store did not record", async () => {
        const [store, first] = createPair();
        await first.tick();
        store.isDown = true;
        assert.equal(await first.acquireRunnerLease("r1", false), false);
        store.isDown = false;
        assert.equal(await first.acquireRunnerLease("r1", false), true);
    });

    it("writes runner leases that are requested together in one transaction", async () => {
        const [store, first] = createPair();
        await first.tick();
        const before = store.writes;
        assert.deepEqual(await Promise.all(runners.map(runner => first.acquireRunnerLease(runner, false))), runners.map(() => true));
        assert.equal(store.writes - before, 1);
    });

    it("carries the loads from the weight store that a holder started over to its successor", async () => {
        const [, first, second] = createPair();
        await first.tick();
        await first.acquireRunnerLease("r1", true);
        await clock.tickAsync(stepMs);
        await first.acquireRunnerLease("r2", true);
        await first.release();
        await second.tick();
        assert.notEqual(second.heldEpoch, undefined, "a released lease is taken over at once");
        assert.deepEqual(second.weightStoreLoadAges.map(Math.round), [stepMs, 0]);
        await first.tick();
        assert.equal(first.heldEpoch, undefined, "a released lease is not taken again by the process that released it");
    });

    it("is yielded by a holder that could not renew it, so that a successor need not wait", async () => {
        const [store, first, second] = createPair();
        await first.tick();
        await second.tick();
        store.isDown = true;
        await clock.tickAsync(controllerLeaseTtlMs - stepMs);
        assert.equal(first.yielding, undefined);
        await clock.tickAsync(stepMs);
        assert.notEqual(first.yielding, undefined);
        store.isDown = false;
        second.onYield(first.yielding!);
        await second.tick();
        assert.notEqual(second.heldEpoch, undefined);
    });

    it("replaces an unreadable row", async () => {
        const [store, first] = createPair();
        store.put({ table: "jackdawtrail", part: "", key: "controller" }, Buffer.from("{"));
        await first.tick();
        assert.notEqual(first.heldEpoch, undefined);
    });
});

import { install } from "@sinonjs/fake-timers";
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { ControllerLease } from "../src/core/controllerLease";
import type { LeaseRules } from "../src/core/controllerRow";
import { controllerLeaseTtlMs, maxOrderDeliveryMs } from "../src/core/controllerRow";
import { setupLogs } from "../src/utils/events";
import { createRandom, pick } from "../src/utils/random";
import { MemoryPlatformStore } from "./fakes/memoryPlatformStore";

const rules: LeaseRules = { turnGapMs: 3_000, loadWindowMs: 5_000 };
const stepMs = 100;
const runners = ["r1", "r2", "r3", "r4"];

interface Order {
    /** When it reaches the runner. */
    readonly at: number;
    readonly runner: string;
    readonly holder: string;
    readonly epoch: number;
}

/** A process with a lease of its own, as one step after the other of a run. */
interface Actor {
    lease: ControllerLease;
    frozenUntil: number;
    cutUntil: number;
}

/** What of the mechanism is left out, to show that the run finds it. */
type Sabotage = Partial<LeaseRules>;

/** Plays nodes that freeze, lose the store and its answers, and restart; returns the orders that left. */
const play = async (seed: number, clock: ReturnType<typeof install>, sabotage: Sabotage = {}): Promise<readonly Order[]> => {
    const random = createRandom(seed);
    const store = MemoryPlatformStore.create(random);
    const names = ["n1", "n2", "n3"];
    const createLease = (name: string, boot: number): ControllerLease =>
        ControllerLease.create(store, { holder: name, boot: `${name}-${boot}`, peerAddress: name }, { ...rules, ...sabotage });
    const actors = new Map<string, Actor>(names.map(name => [name, { lease: createLease(name, 0), frozenUntil: 0, cutUntil: 0 }]));
    const orders: Order[] = [];
    for (let step = 0; step < 1_200; step++) {
        await clock.tickAsync(stepMs);
        const now = performance.now();
        for (const [name, actor] of actors) {
            const chance = random();
            if (chance < 0.004) {
                actor.frozenUntil = now + random() * 8_000;
            }
            else if (chance < 0.008) {
                actor.cutUntil = now + random() * 8_000;
            }
            else if (chance < 0.01) {
                actor.lease = createLease(name, step);
            }
            if (now < actor.frozenUntil) {
                continue;
            }
            if (random() < 0.2) {
                store.isDown = now < actor.cutUntil;
                await actor.lease.tick().catch(() => undefined);
                store.isDown = false;
            }
            const epoch = actor.lease.heldEpoch;
            const runner = pick(runners, random)!;
            store.isDown = now < actor.cutUntil;
            if (epoch !== undefined && await actor.lease.acquireRunnerLease(runner, false)) {
                orders.push({ at: now + random() * maxOrderDeliveryMs, runner, holder: name, epoch });
            }
            store.isDown = false;
        }
        for (const from of actors.values()) {
            const { yielding } = from.lease;
            if (yielding && now >= from.frozenUntil) {
                actors.forEach(({ lease }) => lease !== from.lease && lease.onYield(yielding));
            }
        }
    }
    return orders;
};

/** Pairs of orders to one runner that must not follow each other. */
const faultsOf = (orders: readonly Order[]): readonly string[] =>
    runners.flatMap(runner => {
        const own = orders.filter(order => order.runner === runner).sort((a, b) => a.at - b.at);
        return own.slice(1).flatMap((order, at) => {
            const previous = own[at]!;
            if (order.holder === previous.holder) {
                return [];
            }
            const isRising = order.epoch > previous.epoch;
            return isRising && order.at - previous.at >= rules.turnGapMs
                ? []
                : [`${runner}: ${previous.holder} ${previous.epoch} then ${order.holder} ${order.epoch} after ${order.at - previous.at} ms`];
        });
    });

const createPair = (): readonly [MemoryPlatformStore, ControllerLease, ControllerLease] => {
    const store = MemoryPlatformStore.create(createRandom(1));
    store.lossShare = 0;
    const create = (name: string): ControllerLease => ControllerLease.create(store, { holder: name, boot: name, peerAddress: name }, rules);
    return [store, create("a"), create("b")];
};

describe("the controller's lease", () => {
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
        it(`holders take turns only after the gap, with rising epochs (seed ${seed})`, async () => {
            const orders = await play(seed, clock);
            assert.ok(orders.length > 300, `${orders.length} orders`);
            assert.deepEqual(faultsOf(orders), []);
        });
    }

    it("the run finds a lease without the gap", async () => {
        const faults: string[] = [];
        for (const seed of [1, 2, 3]) {
            faults.push(...faultsOf(await play(seed, clock, { turnGapMs: 0 })));
        }
        assert.notEqual(faults.length, 0);
    });

    it("a successor of a lost holder orders at once, but for runners that the holder had a turn at", async () => {
        const [store, first, second] = createPair();
        await first.tick();
        await clock.tickAsync(stepMs);
        assert.equal(await first.acquireRunnerLease("r1", false), true);
        const turnAt = performance.now();
        await clock.tickAsync(controllerLeaseTtlMs - stepMs);
        await second.tick();
        assert.equal(second.heldEpoch, undefined, "before the lease lapses");
        await clock.tickAsync(2 * stepMs);
        await second.tick();
        assert.notEqual(second.heldEpoch, undefined, "after the lease has lapsed");
        assert.deepEqual([await second.acquireRunnerLease("r1", false), await second.acquireRunnerLease("r2", false)], [false, true]);
        while (!second.mayOrder("r1")) {
            await clock.tickAsync(stepMs);
            await second.tick();
        }
        const waitedMs = performance.now() - turnAt;
        assert.ok(waitedMs >= rules.turnGapMs + maxOrderDeliveryMs && waitedMs < rules.turnGapMs + maxOrderDeliveryMs + 1_000, `${waitedMs} ms`);
        assert.ok(store.nowMs > 0);
    });

    it("a turn that the store did not record is not granted", async () => {
        const [store, first] = createPair();
        await first.tick();
        store.isDown = true;
        assert.equal(await first.acquireRunnerLease("r1", false), false);
        store.isDown = false;
        assert.equal(await first.acquireRunnerLease("r1", false), true);
    });

    it("turns that are asked for together are written once", async () => {
        const [store, first] = createPair();
        await first.tick();
        const before = store.writes;
        assert.deepEqual(await Promise.all(runners.map(runner => first.acquireRunnerLease(runner, false))), runners.map(() => true));
        assert.equal(store.writes - before, 1);
    });

    it("a successor knows the loads from the weight store that its predecessor began", async () => {
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
        assert.equal(first.heldEpoch, undefined, "a released lease is not asked for again");
    });

    it("a holder that could not renew says so, and a successor need not wait", async () => {
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

    it("a row that cannot be read is replaced", async () => {
        const [store, first] = createPair();
        store.put({ table: "jackdawtrail", part: "", key: "controller" }, Buffer.from("{"));
        await first.tick();
        assert.notEqual(first.heldEpoch, undefined);
    });
});

import { install } from "@sinonjs/fake-timers";
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { ControllerLease, controllerTtlMs, maxOrderMs } from "../src/core/controllerLease";
import { setupLogs } from "../src/utils/events";
import { createRandom } from "../src/utils/random";
import { MemoryRowStore } from "./fakes/memoryRowStore";

const turnGapMs = 3_000;
const stepMs = 100;

interface Order {
    readonly at: number;
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
interface Sabotage {
    readonly turnGapMs?: number;
}

/** Plays nodes that freeze, lose the store and its answers, and restart; returns the orders that left. */
const play = async (seed: number, clock: ReturnType<typeof install>, sabotage: Sabotage = {}): Promise<readonly Order[]> => {
    const random = createRandom(seed);
    const store = MemoryRowStore.create(random);
    const names = ["n1", "n2", "n3"];
    const createLease = (name: string, boot: number): ControllerLease =>
        ControllerLease.create(store, { holder: name, boot: `${name}-${boot}`, peerAddress: name }, sabotage.turnGapMs ?? turnGapMs);
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
            if (epoch !== undefined) {
                actor.lease.onOrderStart();
                actor.lease.onOrderEnd();
                orders.push({ at: now, holder: name, epoch });
            }
        }
        for (const from of actors.values()) {
            const { ownVersion } = from.lease;
            if (ownVersion !== undefined && from.lease.heldEpoch !== undefined && now >= from.frozenUntil) {
                actors.forEach(({ lease }) => lease !== from.lease && lease.onHeard(ownVersion));
            }
            const { yielding } = from.lease;
            if (yielding && now >= from.frozenUntil) {
                actors.forEach(({ lease }) => lease !== from.lease && lease.onYield(yielding));
            }
        }
    }
    return orders;
};

/** Pairs of orders that must not follow each other. */
const faultsOf = (orders: readonly Order[]): readonly string[] =>
    orders.slice(1).flatMap((order, at) => {
        const previous = orders[at]!;
        if (order.holder === previous.holder) {
            return [];
        }
        const isRising = order.epoch > previous.epoch;
        return isRising && order.at - previous.at >= turnGapMs
            ? []
            : [`${previous.holder} ${previous.epoch} then ${order.holder} ${order.epoch} after ${order.at - previous.at} ms`];
    });

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

    it("an order that may still arrive counts from its latest arrival", async () => {
        const store = MemoryRowStore.create(createRandom(1));
        store.lossShare = 0;
        const lease = ControllerLease.create(store, { holder: "a", boot: "a", peerAddress: "a" }, turnGapMs);
        await lease.tick();
        lease.onOrderStart();
        await clock.tickAsync(controllerTtlMs);
        assert.equal(lease.heldEpoch, undefined);
        assert.equal(lease.yielding?.lastOrderAgoMs, -maxOrderMs);
        lease.onOrderEnd();
        await clock.tickAsync(stepMs);
        assert.equal(lease.yielding?.lastOrderAgoMs, stepMs);
    });

    it("the run finds a lease without the gap", async () => {
        const faults: string[] = [];
        for (const seed of [1, 2, 3]) {
            faults.push(...faultsOf(await play(seed, clock, { turnGapMs: 0 })));
        }
        assert.notEqual(faults.length, 0);
    });

    it("a released lease is taken over after the gap, not after the whole lease", async () => {
        const store = MemoryRowStore.create(createRandom(1));
        store.lossShare = 0;
        const [first, second] = ["a", "b"].map(name => ControllerLease.create(store, { holder: name, boot: name, peerAddress: name }, turnGapMs));
        await first!.tick();
        assert.notEqual(first!.heldEpoch, undefined);
        first!.onOrderStart();
        first!.onOrderEnd();
        await first!.release();
        await first!.tick();
        assert.equal(first!.heldEpoch, undefined);
        await second!.tick();
        await clock.tickAsync(turnGapMs - stepMs);
        await second!.tick();
        assert.equal(second!.heldEpoch, undefined);
        await clock.tickAsync(2 * stepMs);
        await second!.tick();
        assert.notEqual(second!.heldEpoch, undefined);
    });
});

import { install } from "@sinonjs/fake-timers";
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { ControllerLease } from "../src/core/controllerLease";
import { controllerLeaseTtlMs, maxOrderDeliveryMs, maxSendDelayMs } from "../src/core/controllerRow";
import { eraOf } from "../src/types/storeVersion";
import { setupLogs } from "../src/utils/events";
import { createRandom } from "../src/utils/random";
import { leaseTestRules as rules } from "./fakes/leaseSimulation";
import { MemoryPlatformStore } from "./fakes/memoryPlatformStore";

const stepMs = 100;
/** Longest time after a restore in which an order of a holder may arrive whose runner lease the restore has lost. */
const lostOrdersMs = controllerLeaseTtlMs + maxSendDelayMs + maxOrderDeliveryMs;

describe("controller lease after a restore of the store", () => {
    let clock: ReturnType<typeof install>;
    before(() => {
        setupLogs("silent");
        clock = install({ toFake: ["setTimeout", "clearTimeout", "Date", "performance"] });
    });
    after(() => {
        clock.uninstall();
        setupLogs("info");
    });

    const createStore = (): MemoryPlatformStore => {
        const store = MemoryPlatformStore.create(createRandom(1));
        store.lossShare = 0;
        return store;
    };
    const createLease = (store: MemoryPlatformStore, name: string): ControllerLease =>
        ControllerLease.create(store, { holder: name, boot: name, peerAddress: name }, rules);

    /** Renews a lease until it may send orders to a runner; returns the time that took. */
    const waitForOrders = async (lease: ControllerLease): Promise<number> => {
        const startedAt = performance.now();
        for (;;) {
            await lease.tick();
            if (await lease.acquireRunnerLease("r1", false)) {
                return performance.now() - startedAt;
            }
            await clock.tickAsync(stepMs);
        }
    };

    it("lets a holder whose lease is in force go on at once, under a higher epoch", async () => {
        const store = createStore();
        const lease = createLease(store, "a");
        await lease.tick();
        const copy = store.copy();
        await clock.tickAsync(5 * stepMs);
        await lease.tick();
        const before = lease.heldEpoch!;
        store.restore(copy);
        await clock.tickAsync(5 * stepMs);
        assert.equal(await waitForOrders(lease), 0);
        assert.ok(lease.heldEpoch! > before);
        assert.equal(eraOf(lease.heldEpoch!), 2);
    });

    interface Case {
        readonly name: string;
        /** The processes that come after the restore, in order; each but the last takes the lease and is lost. */
        readonly successors: readonly string[];
        /** Whether the copy has a lease row. */
        readonly isRowCopied: boolean;
    }
    const cases: readonly Case[] = [
        { name: "another node takes over", successors: ["b"], isRowCopied: true },
        { name: "the node takes over that the copy names as the holder", successors: ["a"], isRowCopied: true },
        { name: "the copy has no lease row", successors: ["b"], isRowCopied: false },
        { name: "the first holder after the restore is lost, too", successors: ["b", "c"], isRowCopied: true },
    ];
    for (const { name, successors, isRowCopied } of cases) {
        it(`waits for orders whose runner leases were lost: ${name}`, async () => {
            const store = createStore();
            const empty = store.copy();
            const first = createLease(store, "a");
            await first.tick();
            const copy = isRowCopied ? store.copy() : empty;
            await first.release();
            const lost = createLease(store, "x");
            await lost.tick();
            assert.equal(await lost.acquireRunnerLease("r1", false), true);
            const lostEpoch = lost.heldEpoch!;
            store.restore(copy);
            const restoredAt = performance.now();
            for (const successor of successors.slice(0, -1)) {
                await createLease(store, successor).tick();
                await clock.tickAsync(controllerLeaseTtlMs + stepMs);
            }
            const last = createLease(store, successors.at(-1)!);
            await waitForOrders(last);
            const waitedMs = performance.now() - restoredAt;
            const neededMs = lostOrdersMs + rules.turnGapMs;
            assert.ok(waitedMs >= neededMs && waitedMs < neededMs + 1_000, `${waitedMs} ms`);
            assert.ok(last.heldEpoch! > lostEpoch);
        });
    }

    it("does not wait at the first start of a system", async () => {
        assert.equal(await waitForOrders(createLease(createStore(), "a")), 0);
    });

    it("keeps the loads from the weight store that a node has seen before the restore", async () => {
        const store = createStore();
        const [first, second] = [createLease(store, "a"), createLease(store, "b")];
        await first.tick();
        const copy = store.copy();
        await first.acquireRunnerLease("r1", true);
        await second.tick();
        store.restore(copy);
        await clock.tickAsync(controllerLeaseTtlMs + stepMs);
        await second.tick();
        assert.notEqual(second.heldEpoch, undefined);
        assert.deepEqual(second.weightStoreLoadAges.map(Math.round), [controllerLeaseTtlMs + stepMs]);
    });
});

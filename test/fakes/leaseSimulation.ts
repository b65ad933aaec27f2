import type { install } from "@sinonjs/fake-timers";
import { ControllerLease } from "../../src/core/controllerLease";
import type { LeaseRules } from "../../src/core/controllerRow";
import { maxOrderDeliveryMs } from "../../src/core/controllerRow";
import { createRandom, pick } from "../../src/utils/random";
import type { StoreCopy } from "./memoryPlatformStore";
import { MemoryPlatformStore } from "./memoryPlatformStore";

export const leaseTestRules: LeaseRules = { turnGapMs: 3_000, loadWindowMs: 5_000 };
export const leaseTestRunners = ["r1", "r2", "r3", "r4"];
/** Interval between two steps of a simulation. */
export const stepMs = 100;

interface Order {
    /** Arrival at the runner. */
    readonly at: number;
    readonly runner: string;
    readonly holder: string;
    readonly epoch: number;
}

/** A simulated process with its own lease object; it may be suspended or cut off from the store. */
interface SimulatedNode {
    lease: ControllerLease;
    suspendedUntil: number;
    cutUntil: number;
}

/** Rules that are overridden, to show that the simulation detects their violation. */
type RuleOverrides = Partial<LeaseRules>;

/** Longest time between a copy of the store and the restore from it. */
const maxCopyAgeMs = 9_000;

/** Simulates nodes that are suspended, lose the store or its answers, and restart; returns the orders that were sent. */
export const simulateLeases = async (
    seed: number,
    clock: ReturnType<typeof install>,
    overrides: RuleOverrides = {},
    isStoreRestored = false,
): Promise<readonly Order[]> => {
    const random = createRandom(seed);
    const restoreRandom = createRandom(seed + 1_000);
    const copies: StoreCopy[] = [];
    const store = MemoryPlatformStore.create(random);
    const names = ["n1", "n2", "n3"];
    const createLease = (name: string, boot: number): ControllerLease =>
        ControllerLease.create(store, { holder: name, boot: `${name}-${boot}`, peerAddress: name }, { ...leaseTestRules, ...overrides });
    const nodes = new Map<string, SimulatedNode>(names.map(name => [name, { lease: createLease(name, 0), suspendedUntil: 0, cutUntil: 0 }]));
    const orders: Order[] = [];
    for (let step = 0; step < 1_200; step++) {
        await clock.tickAsync(stepMs);
        const now = performance.now();
        if (isStoreRestored) {
            copies.push(store.copy());
            copies.splice(0, copies.length - maxCopyAgeMs / stepMs);
            if (restoreRandom() < 0.008) {
                store.restore(pick(copies, restoreRandom)!);
                copies.length = 0;
            }
        }
        for (const [name, node] of nodes) {
            const chance = random();
            if (chance < 0.004) {
                node.suspendedUntil = now + random() * 8_000;
            }
            else if (chance < 0.008) {
                node.cutUntil = now + random() * 8_000;
            }
            else if (chance < 0.01) {
                node.lease = createLease(name, step);
            }
            if (now < node.suspendedUntil) {
                continue;
            }
            if (random() < 0.2) {
                store.isDown = now < node.cutUntil;
                await node.lease.tick().catch(() => undefined);
                store.isDown = false;
            }
            const epoch = node.lease.heldEpoch;
            const runner = pick(leaseTestRunners, random)!;
            store.isDown = now < node.cutUntil;
            if (epoch !== undefined && await node.lease.acquireRunnerLease(runner, false)) {
                orders.push({ at: now + random() * maxOrderDeliveryMs, runner, holder: name, epoch });
            }
            store.isDown = false;
        }
        for (const from of nodes.values()) {
            const { yielding } = from.lease;
            if (yielding && now >= from.suspendedUntil) {
                nodes.forEach(({ lease }) => lease !== from.lease && lease.onYield(yielding));
            }
        }
    }
    return orders;
};

/** Consecutive orders of different holders to one runner that come within the gap or without a higher epoch. */
export const violationsOf = (orders: readonly Order[]): readonly string[] =>
    leaseTestRunners.flatMap(runner => {
        const own = orders.filter(order => order.runner === runner).sort((a, b) => a.at - b.at);
        return own.slice(1).flatMap((order, index) => {
            const previous = own[index]!;
            if (order.holder === previous.holder) {
                return [];
            }
            const isRising = order.epoch > previous.epoch;
            return isRising && order.at - previous.at >= leaseTestRules.turnGapMs
                ? []
                : [`${runner}: ${previous.holder} ${previous.epoch} then ${order.holder} ${order.epoch} after ${order.at - previous.at} ms`];
        });
    });

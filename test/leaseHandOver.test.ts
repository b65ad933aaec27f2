import { install } from "@sinonjs/fake-timers";
import assert from "node:assert/strict";
import { after, afterEach, before, beforeEach, describe, it } from "node:test";
import { ControllerLease } from "../src/core/controllerLease";
import { LeaseVacancy } from "../src/core/leaseVacancy";
import { takeoverDelayMs } from "../src/core/takeoverDelay";
import { tickLease } from "../src/placement/tickLease";
import { ContactState } from "../src/types/contactState";
import { setupLogs } from "../src/utils/events";
import { createRandom } from "../src/utils/random";
import { leaseTestRules, stepMs } from "./fakes/leaseSimulation";
import { MemoryPlatformStore } from "./fakes/memoryPlatformStore";

/** Time after which a node that is cut off counts as out of contact. */
const contactMs = 3_000;
const cutMs = 12_000;

describe("the lease of a controller that is cut off from the runners", () => {
    let clock: ReturnType<typeof install>;
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));
    beforeEach(() => {
        clock = install({ toFake: ["setTimeout", "clearTimeout", "Date", "performance"] });
    });
    afterEach(() => clock.uninstall());

    interface Case {
        readonly name: string;
        /** Nodes that are cut off; `a` holds the lease. */
        readonly cut: readonly string[];
        /** Holders after the cut has become known, in order. */
        readonly holders: readonly string[];
    }
    const cases: readonly Case[] = [
        { name: "stays if another node is cut off", cut: ["b"], holders: ["a"] },
        { name: "goes to a node that reaches them, and stays there", cut: ["a", "b"], holders: ["a", "c"] },
        { name: "stays if all nodes are cut off", cut: ["a", "b", "c"], holders: ["a"] },
    ];
    for (const { name, cut, holders } of cases) {
        it(name, async () => {
            const store = MemoryPlatformStore.create(createRandom(1));
            store.lossShare = 0;
            let isCut = false;
            const isCutOff = (node: string): boolean => isCut && cut.includes(node);
            const names = ["a", "b", "c"];
            const leases = new Map(names.map(node => {
                const vacancy = LeaseVacancy.create(() => takeoverDelayMs(1, 1, isCutOff(node)));
                return [node, ControllerLease.create(store, { holder: node, boot: node, peerAddress: node }, leaseTestRules, vacancy)];
            }));
            const seen: string[] = [];
            const epochs: number[] = [];
            const pass = async (ms: number): Promise<void> => {
                for (let passedMs = 0; passedMs < ms; passedMs += stepMs) {
                    for (const [node, lease] of leases) {
                        const state = isCutOff(node) ? ContactState.Lost : ContactState.Held;
                        await tickLease(lease, { state }, { someReachUpstreams: names.some(other => other !== node && !isCutOff(other)) }, false);
                        if (lease.heldEpoch !== undefined && seen.at(-1) !== node) {
                            seen.push(node);
                            epochs.push(lease.heldEpoch);
                        }
                    }
                    await clock.tickAsync(stepMs);
                }
            };
            await pass(contactMs);
            isCut = true;
            await pass(contactMs);
            assert.deepEqual(seen, holders, "soon");
            await pass(cutMs);
            isCut = false;
            await pass(cutMs);
            assert.deepEqual(seen, holders, "later");
            assert.deepEqual(epochs, [...epochs].sort((left, right) => left - right));
        });
    }

    it("can be taken again by a node that has handed it over, under a new epoch", async () => {
        const store = MemoryPlatformStore.create(createRandom(1));
        store.lossShare = 0;
        const lease = ControllerLease.create(store, { holder: "a", boot: "a", peerAddress: "a" }, leaseTestRules);
        await lease.tick();
        const epoch = lease.heldEpoch!;
        await lease.handOver();
        assert.equal(lease.heldEpoch, undefined);
        await clock.tickAsync(stepMs);
        await lease.tick();
        assert.ok(lease.heldEpoch! > epoch, `${lease.heldEpoch} after ${epoch}`);
    });
});

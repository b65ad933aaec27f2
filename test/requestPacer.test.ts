import { install } from "@sinonjs/fake-timers";
import assert from "node:assert/strict";
import { after, afterEach, before, beforeEach, describe, it } from "node:test";
import { RequestPacer } from "../src/core/requestPacer";
import { RunnerLimits } from "../src/core/runnerLimits";
import type { PeerClients } from "../src/placement/peerClients";
import { PermitClient } from "../src/placement/permitClient";
import { setupLogs } from "../src/utils/events";
import { createRandom, pick } from "../src/utils/random";

const runner = "r1@1";
const windowMs = 4_000;

describe("turns at a runner that has named a limit", () => {
    let clock: ReturnType<typeof install>;
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));
    beforeEach(() => clock = install({ toFake: ["performance", "setTimeout"] }));
    afterEach(() => clock.uninstall());

    interface Case {
        readonly name: string;
        readonly perSecond: number;
        readonly maxWaitMs: number;
        /** Waiting times of turns that are requested at the same moment; undefined for those that are denied. */
        readonly waits: readonly (number | undefined)[];
    }

    const cases: readonly Case[] = [
        { name: "are evenly spaced", perSecond: 4, maxWaitMs: 1_000, waits: [0, 250, 500, 750, 1_000] },
        { name: "are denied if they would be too late", perSecond: 1, maxWaitMs: 1_500, waits: [0, 1_000, undefined, undefined] },
        { name: "follow a limit below one a second", perSecond: 0.25, maxWaitMs: 5_000, waits: [0, 4_000, undefined] },
        { name: "are rare at a runner that takes no requests", perSecond: 0, maxWaitMs: 5_000, waits: [0, undefined, undefined] },
    ];

    for (const { name, perSecond, maxWaitMs, waits } of cases) {
        it(name, () => {
            const pacer = RequestPacer.create();
            const permits = waits.map(() => pacer.reserve({ runner, perSecond, maxWaitMs }));
            assert.deepEqual(permits.map(({ isGranted, waitMs }) => isGranted ? waitMs : undefined), waits);
        });
    }

    it("do not accumulate while none is requested", () => {
        const pacer = RequestPacer.create();
        pacer.reserve({ runner, perSecond: 1, maxWaitMs: 0 });
        clock.tick(60_000);
        const granted = [0, 1, 2].filter(() => pacer.reserve({ runner, perSecond: 1, maxWaitMs: 0 }).isGranted);
        assert.equal(granted.length, 1);
    });

    it("are remembered for a bounded number of runners", () => {
        const pacer = RequestPacer.create();
        for (let index = 0; index < 10_000; index++) {
            pacer.reserve({ runner: `r${index}`, perSecond: 0.01, maxWaitMs: 0 });
        }
        assert.equal(pacer.size <= 4_097, true);
        clock.tick(200_000);
        pacer.reserve({ runner, perSecond: 1, maxWaitMs: 0 });
        assert.equal(pacer.size, 1);
    });

    interface FleetCase {
        readonly name: string;
        readonly nodeCount: number;
        readonly perSecond: number;
        /** Index of a node that ends after half of the time. */
        readonly endsAtHalf?: "pacer";
    }

    const fleetCases: readonly FleetCase[] = [
        { name: "7 nodes", nodeCount: 7, perSecond: 1 },
        { name: "195 nodes with a limit of one a second", nodeCount: 195, perSecond: 1 },
        { name: "195 nodes with a limit of one in four seconds", nodeCount: 195, perSecond: 0.25 },
        { name: "195 nodes whose pacer ends", nodeCount: 195, perSecond: 2, endsAtHalf: "pacer" },
    ];

    for (const { name, nodeCount, perSecond, endsAtHalf } of fleetCases) {
        it(`keep the limit for all nodes together, and use it: ${name}`, async () => {
            const random = createRandom(nodeCount);
            const addresses = [...Array(nodeCount).keys()].map(index => `n${index}`);
            const pacers = new Map(addresses.map(address => [address, RequestPacer.create()]));
            const ended = new Set<string>();
            const asked = new Map<string, number>();
            const clientsOf = (address: string): unknown => ({
                permit: {
                    mutate: (req: Parameters<RequestPacer["reserve"]>[0]) => {
                        asked.set(address, (asked.get(address) ?? 0) + 1);
                        return ended.has(address) ? Promise.reject(new Error("ECONNREFUSED")) : Promise.resolve(pacers.get(address)!.reserve(req));
                    },
                },
            });
            const clients = { get: clientsOf } as unknown as PeerClients;
            const nodes = addresses.map(self => PermitClient.create(clients, pacers.get(self)!, () => ({ self, addresses })));
            const sentAt: number[] = [];
            const endsAt = performance.now() + 20_000;
            for (let step = 0; performance.now() < endsAt; step++) {
                const { isGranted, waitMs } = await pick(nodes, random)!.acquire({ runner, perSecond, maxWaitMs: 500 });
                if (isGranted) {
                    sentAt.push(performance.now() + waitMs);
                }
                if (endsAtHalf && step === 200) {
                    ended.add([...asked].sort((a, b) => b[1] - a[1])[0]![0]);
                }
                clock.tick(50);
            }
            sentAt.sort((a, b) => a - b);
            const mostInWindow = Math.max(...sentAt.map(from => sentAt.filter(at => at >= from && at < from + windowMs).length));
            assert.ok(mostInWindow <= 1.5 * perSecond * windowMs / 1_000 + 5, `${mostInWindow} in ${windowMs} ms`);
            assert.ok(sentAt.length >= 0.8 * perSecond * 20, `${sentAt.length} in 20 s`);
        });
    }
});

describe("limits that runners name", () => {
    let clock: ReturnType<typeof install>;
    let limits: RunnerLimits;
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));
    beforeEach(() => {
        clock = install({ toFake: ["performance", "setTimeout"] });
        clock.tick(100_000);
        limits = RunnerLimits.create();
    });
    afterEach(() => clock.uninstall());

    interface Case {
        readonly name: string;
        readonly act: () => void;
        readonly limit: number | undefined;
    }

    const cases: readonly Case[] = [
        { name: "are known from an answer", act: () => limits.onAnswer(runner, 2, 0), limit: 2 },
        {
            name: "end with an answer to a later request that names none",
            act: () => {
                limits.onAnswer(runner, 2, 0);
                clock.tick(10);
                limits.onAnswer(runner, undefined, performance.now());
            },
            limit: undefined,
        },
        {
            name: "stay when an earlier request is answered late without one",
            act: () => {
                const sentAt = performance.now();
                clock.tick(10);
                limits.onAnswer(runner, 2, sentAt);
                limits.onAnswer(runner, undefined, sentAt);
            },
            limit: 2,
        },
        { name: "are taken over from other nodes", act: () => limits.add({ runner, perSecond: 3, ageMs: 500 }), limit: 3 },
        {
            name: "are not replaced by older ones of other nodes",
            act: () => {
                limits.onAnswer(runner, 2, 0);
                limits.add({ runner, perSecond: 3, ageMs: 500 });
            },
            limit: 2,
        },
        {
            name: "expire when no answer confirms them",
            act: () => {
                limits.onAnswer(runner, 2, 0);
                clock.tick(600_000);
            },
            limit: undefined,
        },
        {
            name: "do not expire while answers confirm them",
            act: () => {
                for (let seconds = 0; seconds < 120; seconds++) {
                    limits.onAnswer(runner, 2, performance.now());
                    clock.tick(1_000);
                }
            },
            limit: 2,
        },
    ];

    for (const { name, act, limit } of cases) {
        it(name, () => {
            act();
            assert.equal(limits.limitOf(runner), limit);
        });
    }

    it("keep others preferred only while answers confirm them, so that they can end", () => {
        limits.onAnswer(runner, 2, 0);
        assert.equal(limits.delayOf(runner), 300);
        clock.tick(30_000);
        assert.equal(limits.delayOf(runner), 0);
        assert.equal(limits.limitOf(runner), 2, "still paced");
    });

    it("are kept for a bounded number of runners", () => {
        for (let index = 0; index < 5_000; index++) {
            limits.onAnswer(`r${index}`, 1, 0);
        }
        assert.ok(limits.changesSince(0).length <= 2_048);
    });
});

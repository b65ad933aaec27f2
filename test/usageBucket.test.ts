import type { Clock } from "@sinonjs/fake-timers";
import { install } from "@sinonjs/fake-timers";
import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import type { BucketLimit } from "../src/core/usageBucket";
import { UsageBucket } from "../src/core/usageBucket";

const limit: BucketLimit = { perSecond: 100, burst: 500 };
const random = (): number => 0.5;

/** Guards against a bucket that admits more than its limit, or refuses what is below it. */
describe("a bucket of usage", () => {
    let clock: Clock;
    beforeEach(() => {
        clock = install({ toFake: ["performance"] });
        clock.tick(100_000);
    });
    afterEach(() => clock.uninstall());

    interface Case {
        readonly name: string;
        readonly limit?: BucketLimit;
        /** Time since which the bucket has known all charges. */
        readonly ageMs: number;
        /** Charges, each some time after the one before, and whether they are admitted. */
        readonly charges: readonly (readonly [afterMs: number, units: number, isAdmitted: boolean])[];
        readonly level: number;
    }

    const cases: readonly Case[] = [
        { name: "is empty when it begins", ageMs: 0, charges: [[0, 1, false]], level: 0 },
        { name: "is filled from the time at which it was empty", ageMs: 2_000, charges: [[0, 200, true], [0, 1, false]], level: 0 },
        { name: "holds no more than its burst", ageMs: 60_000, charges: [], level: 500 },
        { name: "is refilled at its rate", ageMs: 60_000, charges: [[0, 500, true], [1_000, 101, false], [10, 101, true]], level: 0 },
        { name: "is overdrawn by a request above the burst", ageMs: 60_000, charges: [[0, 900, true], [3_900, 1, false]], level: -10 },
        { name: "admits nothing above the burst unless it is full", ageMs: 60_000, charges: [[0, 1, true], [0, 900, false]], level: 499 },
        {
            name: "admits one by one without a burst",
            limit: { perSecond: 100, burst: 0 },
            ageMs: 0,
            charges: [[0, 50, true], [499, 1, false], [2, 1, true]],
            level: -1,
        },
        {
            name: "is used up for good without a rate",
            limit: { perSecond: 0, burst: 5 },
            ageMs: 60_000,
            charges: [[0, 1, false], [60_000, 1, false]],
            level: 0,
        },
    ];
    for (const { name, limit: ownLimit = limit, ageMs, charges, level } of cases) {
        it(name, () => {
            const bucket = UsageBucket.create(ownLimit, performance.now() - ageMs);
            const admitted = charges.map(([afterMs, units]) => {
                clock.tick(afterMs);
                return bucket.take(units);
            });
            assert.deepEqual(admitted, charges.map(([, , isAdmitted]) => isAdmitted));
            assert.ok(Math.abs(bucket.level - level) < 1e-6, String(bucket.level));
        });
    }

    interface ChangeCase {
        readonly name: string;
        readonly used: number;
        readonly act: (bucket: UsageBucket) => void;
        readonly level: number;
        readonly levelAfter1S: number;
    }

    const changeCases: readonly ChangeCase[] = [
        { name: "caps the level at a lower burst", used: 0, act: bucket => bucket.setLimit({ perSecond: 10, burst: 50 }), level: 50, levelAfter1S: 50 },
        {
            name: "keeps what was overdrawn at a lower limit",
            used: 900,
            act: bucket => bucket.setLimit({ perSecond: 10, burst: 50 }),
            level: -400,
            levelAfter1S: -390,
        },
        { name: "adds what a higher burst adds", used: 500, act: bucket => bucket.setLimit({ perSecond: 100, burst: 800 }), level: 300, levelAfter1S: 400 },
        { name: "fills at a higher rate from then on", used: 500, act: bucket => bucket.setLimit({ perSecond: 200, burst: 500 }), level: 0, levelAfter1S: 200 },
        { name: "takes returned units", used: 400, act: bucket => bucket.giveBack(150), level: 250, levelAfter1S: 350 },
        { name: "takes no more returned units than it holds", used: 100, act: bucket => bucket.giveBack(300), level: 500, levelAfter1S: 500 },
    ];
    for (const { name, used, act, level, levelAfter1S } of changeCases) {
        it(name, () => {
            const bucket = UsageBucket.create(limit, 0);
            assert.ok(bucket.take(used));
            act(bucket);
            const now = bucket.level;
            clock.tick(1_000);
            assert.deepEqual([now, bucket.level].map(Math.round), [level, levelAfter1S]);
        });
    }

    it("gives refused requests consecutive times, and others times within two seconds", () => {
        const bucket = UsageBucket.create(limit, performance.now());
        const times = [50, 50, 50, 50, 50].map(units => Math.round(bucket.returnInMs(units, random)));
        assert.deepEqual(times, [500, 1_000, 1_500, 2_000, 1_500]);
    });

    it("has room for those who come back at their times", () => {
        const bucket = UsageBucket.create(limit, performance.now());
        const startedAt = performance.now();
        const times = [50, 30, 70].map(units => ({ units, at: startedAt + bucket.returnInMs(units, random) }));
        const refused = times.filter(({ units, at }) => {
            clock.tick(Math.ceil(at + 1 - performance.now()));
            return !bucket.take(units);
        });
        assert.deepEqual(refused, []);
    });
});

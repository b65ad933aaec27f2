import type { Clock } from "@sinonjs/fake-timers";
import { install } from "@sinonjs/fake-timers";
import assert from "node:assert/strict";
import { after, afterEach, before, beforeEach, describe, it } from "node:test";
import { UsageHomes } from "../src/core/usageHomes";
import { UsageOutcome } from "../src/types/usageOutcome";
import { setupLogs } from "../src/utils/events";

const limit = { perSecond: 100, burst: 500 };
const customer = "acme";
const random = (): number => 0.5;

describe("usage at a home node", () => {
    let clock: Clock;
    let homes: UsageHomes;
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));
    beforeEach(() => {
        clock = install({ toFake: ["performance", "Date"] });
        clock.tick(100_000);
        homes = UsageHomes.create("10.0.0.1:1", random);
        homes.applyLimits(new Map([[customer, limit]]), 1, () => 0);
    });
    afterEach(() => clock.uninstall());

    const charge = (units: number, since = 0, configVersion = 1, own = limit) => homes.charge({ customer, units, ...own, configVersion }, since);
    const apply = (version: number, limits: readonly (readonly [string, typeof limit])[]): void => homes.applyLimits(new Map(limits), version, () => 0);
    /** Units that are admitted one by one now. */
    const admittedNow = (since = 0): number => {
        let count = 0;
        while (charge(1, since).outcome === UsageOutcome.Admitted && count < 10_000) {
            count++;
        }
        return count;
    };

    interface Case {
        readonly name: string;
        readonly act: () => void;
        readonly since?: () => number;
        readonly admitted: number;
    }

    /** Guards against a home node that admits what others, or itself before a change, have admitted already. */
    const cases: readonly Case[] = [
        { name: "is the whole burst if it was the home for long", act: () => undefined, admitted: 500 },
        { name: "is what was filled in since it became the home", act: () => undefined, since: () => performance.now() - 1_000, admitted: 100 },
        { name: "begins anew after another node was the home", act: () => void admittedNow(), since: () => performance.now(), admitted: 0 },
        {
            name: "does not begin anew for a limit that is listed again",
            act: () => {
                admittedNow();
                apply(2, []);
                apply(3, [[customer, limit]]);
            },
            admitted: 0,
        },
        {
            name: "does not begin anew when it is forgotten: only a full bucket is",
            act: () => {
                admittedNow();
                clock.tick(3_000);
                homes.charge({ customer: "other", units: 1, ...limit, configVersion: 2 }, 0);
                clock.tick(1_000);
            },
            admitted: 400,
        },
        {
            name: "grows by what a higher burst adds, once",
            act: () => {
                admittedNow();
                charge(600, 0, 2, { perSecond: 100, burst: 700 });
                apply(2, [[customer, { perSecond: 100, burst: 700 }]]);
            },
            admitted: 200,
        },
        {
            name: "is not set back by a node that knows an older version",
            act: () => {
                apply(2, [[customer, { perSecond: 10, burst: 50 }]]);
                charge(0, 0, 1);
            },
            admitted: 50,
        },
        {
            name: "of a customer without a rate that a version adds is its burst",
            act: () => {
                apply(2, []);
                apply(3, [[customer, { perSecond: 0, burst: 30 }]]);
            },
            admitted: 30,
        },
    ];
    for (const { name, act, since = () => 0, admitted } of cases) {
        it(name, () => {
            act();
            assert.equal(admittedNow(since()), admitted);
        });
    }

    it("takes back what it admitted, and nothing that another bucket did", () => {
        const { bucket = "" } = charge(500);
        homes.giveBack({ customer, bucket: "another", units: 500 });
        const before = homes.levels.get(customer);
        homes.giveBack({ customer, bucket, units: 200 });
        assert.deepEqual([before, homes.levels.get(customer)], [0, 200]);
    });

    it("takes nothing back for a bucket before it became the home anew", () => {
        const { bucket = "" } = charge(500);
        charge(1, performance.now());
        homes.giveBack({ customer, bucket, units: 500 });
        assert.equal(homes.levels.get(customer), 0);
    });

    it("is kept only for customers whose bucket is not full", () => {
        const names = [...Array(1_000).keys()].map(index => `c${index}`);
        apply(2, names.map(name => [name, limit] as const));
        const ask = (name: string): unknown => homes.charge({ customer: name, units: 10, ...limit, configVersion: 2 }, 0);
        names.forEach(ask);
        clock.tick(60_000);
        ask("c0");
        assert.equal(homes.size, 1);
    });
});

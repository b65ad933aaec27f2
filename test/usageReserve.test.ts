import type { Clock } from "@sinonjs/fake-timers";
import { install } from "@sinonjs/fake-timers";
import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { nodeReserveOf, UsageReserve, zoneReserveOf } from "../src/core/usageReserve";
import { createRandom } from "../src/utils/random";

const limit = { perSecond: 10_000, burst: 30_000 };
const bounds = { windowMs: 8_000, overrun: 0.1, slack: 110_000 };

/** Guards against grants without the home node that together exceed what the rule allows beyond the limit. */
describe("the reserve of usage", () => {
    let clock: Clock;
    beforeEach(() => {
        clock = install({ toFake: ["performance"] });
        clock.tick(100_000);
    });
    afterEach(() => clock.uninstall());

    const shareCases = [
        { name: "with overrun and slack", limit, bounds, allowed: 121_000 },
        { name: "with overrun alone", limit, bounds: { ...bounds, slack: 0 }, allowed: 11_000 },
        { name: "without both", limit, bounds: { ...bounds, slack: 0, overrun: 0 }, allowed: 0 },
    ];
    for (const { name, limit: own, bounds: rule, allowed } of shareCases) {
        it(`of all zones and all nodes together is within the rule ${name}`, () => {
            const zones = [30, 30, 25];
            const zoneSum = zones.reduce((sum, zoneNodes) => sum + zoneReserveOf(own, rule, { nodes: 85, zoneNodes }), 0);
            const nodeSum = zones.reduce((sum, zoneNodes) => sum + zoneNodes * nodeReserveOf(own, rule, { nodes: 85, zoneNodes }), 0);
            assert.ok(Math.abs(zoneSum - allowed / 2) < 1e-6 && Math.abs(nodeSum - 0.15 * allowed) < 1e-6, `${zoneSum} and ${nodeSum}`);
        });
    }

    it("grants nothing in its first window, as what was granted before is not known", () => {
        const reserve = UsageReserve.create();
        const since = performance.now();
        const granted = [0, 4_000, 3_999, 1].map(ms => {
            clock.tick(ms);
            return reserve.take("acme", 1, 100, bounds.windowMs, since);
        });
        assert.deepEqual(granted, [false, false, false, true]);
    });

    it("grants no window more than its share, and most of it", () => {
        const reserve = UsageReserve.create();
        const random = createRandom(1);
        const grants: { readonly at: number; readonly units: number; }[] = [];
        for (let step = 0; step < 4_000; step++) {
            const units = Math.ceil(random() * 40);
            if (reserve.take("acme", units, 1_000, bounds.windowMs, 0)) {
                grants.push({ at: performance.now(), units });
            }
            clock.tick(Math.ceil(random() * 20));
        }
        const sums = grants.map(({ at }) =>
            grants.filter(grant => grant.at >= at && grant.at < at + bounds.windowMs).reduce((sum, { units }) => sum + units, 0)
        );
        assert.ok(Math.max(...sums) <= 1_000, String(Math.max(...sums)));
        const total = grants.reduce((sum, { units }) => sum + units, 0);
        assert.ok(total >= 0.9 * 1_000 * 40_000 / bounds.windowMs, String(total));
    });

    it("is remembered for a bounded time and by customer", () => {
        const reserve = UsageReserve.create();
        for (let index = 0; index < 1_000; index++) {
            assert.ok(reserve.take(`c${index}`, 1, 1, bounds.windowMs, 0));
        }
        clock.tick(2 * bounds.windowMs);
        assert.ok(reserve.take("acme", 1, 1, bounds.windowMs, 0));
        assert.equal(reserve.size, 1);
    });
});

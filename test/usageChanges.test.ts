import type { Clock } from "@sinonjs/fake-timers";
import { install } from "@sinonjs/fake-timers";
import assert from "node:assert/strict";
import { after, afterEach, before, beforeEach, describe, it } from "node:test";
import type { UsageLimit } from "../src/types/customer";
import { UsageUnit } from "../src/types/customer";
import type { UsageAnswer } from "../src/types/usageAnswer";
import { UsageCallResult } from "../src/types/usageCallResult";
import { UsageOutcome } from "../src/types/usageOutcome";
import { setupLogs } from "../src/utils/events";
import { UsageFleet } from "./fakes/usageFleet";

const limit: UsageLimit = { unit: UsageUnit.Tokens, perSecond: 10_000, burst: 30_000, plainTokens: 100 };
const bounds = { windowMs: 8_000, overrun: 0.1, slack: 110_000 };
const stepMs = 50;
const units = 1_000;

describe("a customer's usage when its limit changes, requests do not run, or answers are late", () => {
    let clock: Clock;
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));
    beforeEach(() => {
        clock = install({ toFake: ["performance", "Date", "setTimeout", "clearTimeout"] });
        clock.tick(100_000);
    });
    afterEach(() => clock.uninstall());

    const run = async (ms: number): Promise<void> => {
        for (let passed = 0; passed < ms; passed += stepMs) {
            await clock.tickAsync(stepMs);
        }
    };
    const countOf = (answers: readonly UsageAnswer[], outcome: UsageOutcome): number => answers.filter(answer => answer.outcome === outcome).length;

    interface LimitCase {
        readonly name: string;
        readonly next: UsageLimit;
    }

    /** Guards against a changed limit that does not take effect, or counts twice. */
    const limitCases: readonly LimitCase[] = [
        { name: "lowered", next: { ...limit, perSecond: 2_000, burst: 4_000 } },
        { name: "raised", next: { ...limit, perSecond: 30_000, burst: 60_000 } },
        { name: "topped up", next: { ...limit, burst: 130_000 } },
    ];
    for (const { name, next } of limitCases) {
        it(`keeps to a limit that is ${name}, one window after it is in force`, async () => {
            const fleet = UsageFleet.create({ nodeCount: 30, limit, bounds: { ...bounds, overrun: 0, slack: 0 } });
            await run(5_000);
            fleet.runLoad(60, units, 30_000);
            await run(10_000);
            const changedAt = performance.now();
            fleet.setLimit(next, 1_000);
            await run(20_500);
            const most = fleet.calls.mostInWindow(changedAt + 1_000 + bounds.windowMs);
            assert.ok(most <= fleet.ruleOf(next) + units, `${most} in a window, ${fleet.ruleOf(next)} are allowed`);
            const used = fleet.calls.usedPerSecond(changedAt + 1_000, changedAt + 19_000);
            assert.ok(used >= 0.9 * next.perSecond, `${used} a second`);
            const added = Math.max(0, next.burst - limit.burst);
            const usedAtOnce = fleet.calls.usedPerSecond(changedAt, changedAt + 3_000) * 3;
            assert.ok(usedAtOnce >= 0.9 * (added + 2 * next.perSecond), `${usedAtOnce} in three seconds`);
        });
    }

    /** Guards against requests that did not run and count all the same, and against returns that grow an allowance. */
    it("does not count requests that did not run", async () => {
        const fleet = UsageFleet.create({ nodeCount: 30, limit: { ...limit, perSecond: 1 }, bounds: { ...bounds, overrun: 0, slack: 0 } });
        await run(40_000);
        // The bucket is filled by one unit a second: only returns make room.
        fleet.setLimit({ ...limit, perSecond: 1, burst: 60_000 });
        await run(100);
        const node = fleet.nodes.find(other => other !== fleet.home)!;
        const outcomes: UsageOutcome[] = [];
        for (let index = 0; index < 50; index++) {
            const charge = fleet.chargeOf(node, 20_000);
            const answer = node.service.charge(charge);
            await run(100);
            outcomes.push((await answer).outcome);
            node.service.onNotRun(charge, await answer);
            await run(100);
        }
        assert.deepEqual([...new Set(outcomes)], [UsageOutcome.Admitted]);
        const kept = Promise.all([...Array(6).keys()].map(() => fleet.request(node, 20_000)));
        await run(500);
        assert.ok(countOf(await kept, UsageOutcome.Admitted) <= 3, "returns add nothing");
    });

    /** Guards against units that are lost with each answer that comes too late to be used. */
    it("counts nothing for answers that come too late", async () => {
        const fleet = UsageFleet.create({ nodeCount: 30, limit, bounds: { ...bounds, overrun: 0, slack: 0 } });
        await run(5_000);
        const { home } = fleet;
        const node = fleet.nodes.find(other => other !== home)!;
        await fleet.requestWith(run, node, 1);
        const before = home.service.levels.get("acme")!;
        fleet.delayMs = 700;
        await fleet.requestWith(run, node, 20_000);
        await run(3_000);
        assert.ok(home.service.levels.get("acme")! >= Math.min(before, limit.burst) - 1, String(home.service.levels.get("acme")));
    });

    /** Guards against a node of the last release that is taken to have admitted what it does not understand. */
    it("takes a home node of the last release for one that is not reached", async () => {
        const fleet = UsageFleet.create({ nodeCount: 30, limit, bounds });
        fleet.nodes.forEach(node => node.isOfLastRelease = true);
        const node = fleet.nodes.find(other => other !== fleet.home)!;
        await run(1_000);
        const early = await fleet.requestWith(run, node, 10);
        await run(10_000);
        const later = await fleet.requestWith(run, node, 10);
        assert.deepEqual([early.outcome, later.outcome], [UsageOutcome.Unknown, UsageOutcome.Admitted]);
        assert.equal(later.bucket, undefined, "from the reserve");
        assert.ok(node.counters.calls.get(UsageCallResult.NotSupported)! > 0);
    });
});

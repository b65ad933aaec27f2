import type { Clock } from "@sinonjs/fake-timers";
import { install } from "@sinonjs/fake-timers";
import assert from "node:assert/strict";
import { after, afterEach, before, beforeEach, describe, it } from "node:test";
import type { UsageLimit } from "../src/types/customer";
import { UsageUnit } from "../src/types/customer";
import type { UsageAnswer } from "../src/types/usageAnswer";
import { UsageOutcome } from "../src/types/usageOutcome";
import { setupLogs } from "../src/utils/events";
import { UsageFleet } from "./fakes/usageFleet";

const limit: UsageLimit = { unit: UsageUnit.Tokens, perSecond: 10_000, burst: 30_000, plainTokens: 100 };
const bounds = { windowMs: 8_000, overrun: 0.1, slack: 110_000 };
/** Bounds under which nothing is tolerated beyond the limit, but for what two home nodes admit while the list of nodes spreads. */
const strictBounds = { windowMs: 8_000, overrun: 0.1, slack: 0 };
const stepMs = 50;
const units = 1_000;

describe("a customer's usage at many nodes", () => {
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

    interface LoadCase {
        readonly name: string;
        readonly nodeCount: number;
        /** Demand as a share of the limit, and the size of a request. */
        readonly demand: number;
        readonly units: number;
    }

    /** Guards against a limit that is exceeded, or left unused, when a node sees few of a customer's requests or many. */
    const loadCases: readonly LoadCase[] = [
        { name: "6 nodes, ten times the limit", nodeCount: 6, demand: 10, units: 500 },
        { name: "85 nodes, five times the limit", nodeCount: 85, demand: 5, units: 1_000 },
        { name: "85 nodes, large requests", nodeCount: 85, demand: 4, units: 9_190 },
        { name: "400 nodes, small requests, three times the limit", nodeCount: 400, demand: 3, units: 100 },
    ];
    for (const { name, nodeCount, demand, units: size } of loadCases) {
        it(`stays within the limit and uses it: ${name}`, async () => {
            const fleet = UsageFleet.create({ nodeCount, limit, bounds: { ...bounds, overrun: 0, slack: 0 } });
            await run(5_000);
            const from = performance.now();
            fleet.runLoad(demand * limit.perSecond / size, size, 20_000);
            await run(20_500);
            const used = fleet.calls.usedPerSecond(from, from + 20_000);
            assert.ok(fleet.calls.mostInWindow() <= fleet.ruleOf() + size, `${fleet.calls.mostInWindow()} in a window, ${fleet.ruleOf()} are allowed`);
            assert.ok(used >= 0.9 * limit.perSecond, `${used} a second`);
        });
    }

    /** Guards against a split of the limit into shares: a node sees less than one request a second. */
    it("below the limit is admitted in full, at less than one request a second and node", async () => {
        const fleet = UsageFleet.create({ nodeCount: 85, limit, bounds });
        await run(5_000);
        fleet.runLoad(17, 500, 20_000);
        await run(20_500);
        assert.deepEqual(fleet.calls.all.filter(({ answer }) => answer.outcome !== UsageOutcome.Admitted), []);
        assert.ok(fleet.calls.all.length > 250, String(fleet.calls.all.length));
    });

    /** Guards against a burst that only a customer with one node gets. */
    it("has its whole burst at once, from any nodes", async () => {
        const fleet = UsageFleet.create({ nodeCount: 85, limit, bounds: { ...bounds, overrun: 0, slack: 0 } });
        await run(5_000);
        const answers = Promise.all([...Array(60).keys()].map(index => fleet.request(fleet.nodes[index]!, 500)));
        await run(500);
        assert.equal(countOf(await answers, UsageOutcome.Admitted), 60);
    });

    /** Guards against more than one round trip for a charge, and against a call for each of the requests that arrive together. */
    it("costs one call for each charge, and one for those that arrive together", async () => {
        const fleet = UsageFleet.create({ nodeCount: 85, limit, bounds });
        await run(5_000);
        const asking = fleet.nodes.find(node => node !== fleet.home)!;
        fleet.permitCalls = 0;
        const alone = fleet.request(asking, 10);
        await run(200);
        assert.deepEqual([(await alone).outcome, fleet.permitCalls], [UsageOutcome.Admitted, 1]);
        const together = Promise.all([...Array(50).keys()].map(() => fleet.request(asking, 10)));
        await run(200);
        assert.deepEqual([countOf(await together, UsageOutcome.Admitted), fleet.permitCalls], [50, 2]);
    });

    /** Guards against callers that are refused and all come back at once, or find no room when they do. */
    it("tells refused callers times within two seconds that are spread out", async () => {
        const fleet = UsageFleet.create({ nodeCount: 20, limit, bounds });
        await run(5_000);
        const answers = Promise.all([...Array(60).keys()].map(index => fleet.request(fleet.nodes[index % 20]!, 1_000)));
        await run(500);
        const times = (await answers).flatMap(({ retryAfterMs }) => retryAfterMs === undefined ? [] : [retryAfterMs]);
        assert.ok(times.length >= 25 && Math.max(...times) <= 2_000, `${times.length} up to ${Math.max(...times)}`);
        const early = times.filter(ms => ms <= 1_000).length;
        assert.ok(early <= 11, `${early} come back within a second, which has room for 10`);
    });

    interface FaultCase {
        readonly name: string;
        readonly nodeCount?: number;
        /** What happens after ten seconds of load. */
        readonly act: (fleet: UsageFleet) => void;
        /** What happens ten seconds later. */
        readonly undo?: (fleet: UsageFleet) => void;
        readonly bounds?: typeof bounds;
        /** Share of the limit that is used from ten seconds after the fault on. */
        readonly usedAfter: number;
    }

    const cutZone = (zone: string) => (fleet: UsageFleet): void => void (fleet.isCut = (from, to) => (from.zone === zone) !== (to.zone === zone));
    const endCut = (fleet: UsageFleet): void => void (fleet.isCut = () => false);

    /** Guards against home nodes, deputies and single nodes that together admit more than the rule while some do not reach each other. */
    const faultCases: readonly FaultCase[] = [
        { name: "the home node ends", act: fleet => fleet.end(fleet.home), usedAfter: 0.9 },
        { name: "the home node ends, nothing tolerated but the overrun", act: fleet => fleet.end(fleet.home), bounds: strictBounds, usedAfter: 0.9 },
        {
            name: "the home node moves to a node that joins, and back",
            act: fleet => {
                // The first index whose node ranks before all others.
                for (let index = fleet.nodes.length; !fleet.isHome(fleet.add(index)); index++) {
                    fleet.end(fleet.nodes[index]!);
                }
            },
            undo: fleet => fleet.end(fleet.home),
            usedAfter: 0.85,
        },
        { name: "all nodes restart", act: fleet => fleet.restart(), usedAfter: 0.9 },
        {
            name: "all nodes restart, nothing tolerated but the overrun",
            act: fleet => fleet.restart(),
            bounds: strictBounds,
            usedAfter: 0.9,
        },
        { name: "the zone of the home node is cut off", act: fleet => cutZone(fleet.home.peer.zone)(fleet), undo: endCut, usedAfter: 0.9 },
        {
            name: "another zone is cut off",
            act: fleet => cutZone(["a", "b", "c"].find(zone => zone !== fleet.home.peer.zone)!)(fleet),
            undo: endCut,
            usedAfter: 0.9,
        },
        { name: "the zone of the controller is cut off", act: cutZone("a"), undo: endCut, usedAfter: 0.6 },
        { name: "no zone reaches another", act: fleet => void (fleet.isCut = (from, to) => from.zone !== to.zone), undo: endCut, usedAfter: 0 },
        {
            name: "single nodes are cut off from all others",
            act: fleet => {
                const cut = new Set(fleet.nodes.filter((node, index) => index % 4 === 1 && node !== fleet.home).map(({ peer }) => peer.address));
                fleet.isCut = (from, to) => cut.has(from.address) || cut.has(to.address);
            },
            undo: endCut,
            usedAfter: 0.9,
        },
        {
            name: "the home node is cut off from all others",
            act: fleet => {
                const { address } = fleet.home.peer;
                fleet.isCut = (from, to) => from.address === address || to.address === address;
            },
            undo: endCut,
            usedAfter: 0.9,
        },
        { name: "no node reaches another", act: fleet => void (fleet.isCut = () => true), undo: endCut, usedAfter: 0 },
        { name: "the store is down and the nodes reach each other", act: fleet => void (fleet.hasController = false), usedAfter: 0.85 },
        {
            name: "the store is down and no zone reaches another",
            act: fleet => {
                fleet.hasController = false;
                fleet.isCut = (from, to) => from.zone !== to.zone;
            },
            usedAfter: 0,
        },
        { name: "the home node is of the last release", act: fleet => void (fleet.home.isOfLastRelease = true), usedAfter: 0 },
    ];
    for (const { name, nodeCount = 30, act, undo, bounds: own = bounds, usedAfter } of faultCases) {
        it(`stays within the rule when ${name}`, async () => {
            const fleet = UsageFleet.create({ nodeCount, limit, bounds: own });
            await run(12_000);
            const from = performance.now();
            fleet.runLoad(5 * limit.perSecond / units, units, 40_000);
            await run(10_000);
            act(fleet);
            await run(10_000);
            undo?.(fleet);
            await run(20_500);
            const used = fleet.calls.usedPerSecond(from + 20_000, from + 40_000);
            assert.ok(fleet.calls.mostInWindow() <= fleet.ruleOf(), `${fleet.calls.mostInWindow()} in a window, ${fleet.ruleOf()} are allowed`);
            assert.ok(used >= usedAfter * limit.perSecond, `${used} a second`);
        });
    }
});

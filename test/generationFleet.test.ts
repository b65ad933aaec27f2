import { install } from "@sinonjs/fake-timers";
import assert from "node:assert/strict";
import { after, afterEach, before, beforeEach, describe, it } from "node:test";
import { setupLogs } from "../src/utils/events";
import { GenerationFleet } from "./fakes/generationFleet";
import type { GenerationFleetTerms, GenerationKind, KindResult } from "./fakes/generationKinds";

const kvTokens = 187_043;
const runnerCount = 4;
const loadMs = 12_000;
const endMs = 8_000;
const live = { name: "live", priority: 0, promptTokens: 828, events: 58, objectiveMs: 500, gapMs: 600 };
const chat = { name: "chat", priority: 1, promptTokens: 2_000, events: 60, objectiveMs: 1_500, gapMs: 800 };
const long = { name: "long", priority: 2, promptTokens: 9_190, events: 40, objectiveMs: 4_000, gapMs: 1_500 };
/** Several times what the runners can read: one customer sends long prompts at ten times the rate of the others. */
const kinds: readonly GenerationKind[] = [
    { ...live, customer: "a", perSecond: 10 },
    { ...live, customer: "b", perSecond: 10 },
    { ...chat, customer: "a", perSecond: 4 },
    { ...chat, customer: "b", perSecond: 4 },
    { ...long, customer: "a", perSecond: 1 },
    { ...long, customer: "b", perSecond: 1 },
    { ...long, customer: "greedy", perSecond: 10 },
];
const usual: GenerationFleetTerms = { nodeCount: 85, runnerCount, kvTokens, kinds, asks: true };

describe("generations of many nodes and customers, more than the runners can serve", () => {
    let clock: ReturnType<typeof install>;
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));
    beforeEach(() => {
        clock = install({ toFake: ["performance", "setTimeout", "clearTimeout"] });
        clock.tick(100_000);
    });
    afterEach(() => clock.uninstall());

    const run = async (changes: Partial<GenerationFleetTerms> = {}): Promise<GenerationFleet> => {
        const fleet = GenerationFleet.start({ ...usual, ...changes });
        await clock.tickAsync(loadMs);
        fleet.stop();
        await clock.tickAsync(endMs);
        return fleet;
    };
    const sum = (fleet: GenerationFleet, matches: (kind: GenerationKind) => boolean): KindResult => {
        const total: KindResult = { sent: 0, inTime: 0, served: 0, refused: 0, tokens: 0, longestWaitMs: 0, longestGapMs: 0 };
        fleet.results.forEach((result, kind) => {
            if (matches(kind)) {
                total.sent += result.sent;
                total.inTime += result.inTime;
                total.served += result.served;
                total.refused += result.refused;
                total.tokens += result.tokens;
                total.longestWaitMs = Math.max(total.longestWaitMs, result.longestWaitMs);
                total.longestGapMs = Math.max(total.longestGapMs, result.longestGapMs);
            }
        });
        return total;
    };
    const shareOf = ({ inTime, sent }: KindResult): number => inTime / sent;
    const describeFleet = (fleet: GenerationFleet): string =>
        [...fleet.results].map(([{ name, customer }, result]) => `${name} ${customer} ${JSON.stringify(result)}`).join("; ");
    const assertWithinMemory = (fleet: GenerationFleet): void => {
        const most = fleet.runners.map(({ mostTokens }) => mostTokens);
        assert.ok(Math.max(...most) <= kvTokens, most.join(" "));
    };

    interface Case {
        readonly name: string;
        readonly check: (fleet: GenerationFleet, detail: string) => void;
    }
    const cases: readonly Case[] = [
        { name: "never exceed the memory", check: assertWithinMemory },
        {
            name: "serve the most urgent kind no worse than the others",
            check: (fleet, detail) => {
                const shares = [live, chat, long].map(({ name }) => shareOf(sum(fleet, kind => kind.name === name)));
                assert.ok(shares[0]! >= 0.95 && shares[0]! >= shares[1]! && shares[1]! >= shares[2]!, `${shares.join(" ")}; ${detail}`);
            },
        },
        {
            name: "keep the gaps between the events of streams",
            check: (fleet, detail) => assert.ok(sum(fleet, kind => kind.name === live.name).longestGapMs <= live.gapMs, detail),
        },
        {
            name: "starve no kind and no customer",
            check: (fleet, detail) => fleet.results.forEach(({ served, sent }) => assert.ok(served >= 0.05 * sent && served > 0, detail)),
        },
        {
            name: "give a customer with few long prompts what it asks for before one with many gets more",
            check: (fleet, detail) => {
                const [modest, greedy] = [["a", "b"], ["greedy"]].map(customers =>
                    sum(fleet, kind => kind.name === long.name && customers.includes(kind.customer))
                );
                assert.ok(modest!.served / modest!.sent >= 1.5 * greedy!.served / greedy!.sent, detail);
            },
        },
        {
            name: "let none wait beyond its objective",
            check: (fleet, detail) => fleet.results.forEach(({ longestWaitMs }, { objectiveMs }) => assert.ok(longestWaitMs <= objectiveMs + 500, detail)),
        },
    ];
    for (const { name, check } of cases) {
        it(name, async () => {
            const fleet = await run();
            check(fleet, describeFleet(fleet));
        });
    }

    it("are late for most urgent callers without places, so that the load is one", async () => {
        const fleet = await run({ asks: false });
        assert.ok(shareOf(sum(fleet, kind => kind.name === live.name)) < 0.5, describeFleet(fleet));
    });

    const failures: readonly { readonly name: string; readonly changes: Partial<GenerationFleetTerms>; }[] = [
        { name: "nodes that give places end", changes: { nodesEndAtMs: 4_000 } },
        { name: "nodes are cut off from the others", changes: { cutOff: 20 } },
    ];
    for (const { name, changes } of failures) {
        it(`never exceed the memory and are served when ${name}`, async () => {
            const fleet = await run(changes);
            assertWithinMemory(fleet);
            const urgent = sum(fleet, kind => kind.name === live.name);
            assert.ok(urgent.served >= 0.8 * urgent.sent, describeFleet(fleet));
        });
    }
});

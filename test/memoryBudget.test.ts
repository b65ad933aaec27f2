import type { Clock } from "@sinonjs/fake-timers";
import { install } from "@sinonjs/fake-timers";
import fc from "fast-check";
import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import type { BodyDenial, BodyGrant } from "../src/core/memoryBudget";
import { MemoryBudget } from "../src/core/memoryBudget";
import { memoryLimitOf } from "../src/core/memoryLimit";
import { MemoryHolder } from "../src/types/memoryHolder";

const megabyte = 1_048_576;
/** Bodies may take 60 MB of it, small ones 70 MB. */
const limitBytes = 100 * megabyte;
const waitMs = 1_000;

describe("the memory budget of a process", () => {
    let clock: Clock & { uninstall(): void; };
    let budget: MemoryBudget;
    beforeEach(() => {
        clock = install();
        budget = MemoryBudget.create({ limitBytes: () => limitBytes, random: () => 0.5 });
    });
    afterEach(() => clock.uninstall());

    /** A body that asked for memory. */
    interface Asked {
        result?: BodyGrant | BodyDenial;
        readonly abort: AbortController;
    }

    const ask = async (bytes: number, maxWaitMs = waitMs): Promise<Asked> => {
        const asked: Asked = { abort: new AbortController() };
        void budget.requestBody(bytes, maxWaitMs, asked.abort.signal).then(result => asked.result = result);
        await settle();
        return asked;
    };
    const settle = async (): Promise<void> => {
        await Promise.resolve();
        await Promise.resolve();
    };
    const release = async ({ result }: Asked): Promise<void> => {
        assert.ok(result?.isGranted);
        result.release();
        await settle();
    };

    /** What happens in turn; bodies are numbered in the order in which they ask. */
    interface Case {
        readonly name: string;
        readonly steps: readonly (
            | { readonly ask: number; }
            | { readonly release: number; }
            | { readonly leave: number; }
            | { readonly answers: number; }
            | { readonly passMs: number; }
        )[];
        /** Outcome of each body: granted, refused, or still waiting. */
        readonly outcomes: readonly ("granted" | "refused" | "waits")[];
    }
    const cases: readonly Case[] = [
        { name: "grants what fits", steps: [{ ask: 30 }, { ask: 30 }], outcomes: ["granted", "granted"] },
        { name: "lets a body wait that may get memory in time", steps: [{ ask: 55 }, { ask: 6 }], outcomes: ["granted", "waits"] },
        { name: "grants memory that is released", steps: [{ ask: 55 }, { ask: 6 }, { release: 0 }], outcomes: ["granted", "granted"] },
        { name: "refuses at once what cannot get memory in time", steps: [{ ask: 55 }, { ask: 58 }], outcomes: ["granted", "refused"] },
        { name: "refuses a body whose time to wait has passed", steps: [{ ask: 55 }, { ask: 6 }, { passMs: waitMs }], outcomes: ["granted", "refused"] },
        { name: "grants in order of arrival", steps: [{ ask: 50 }, { ask: 12 }, { ask: 5 }], outcomes: ["granted", "waits", "waits"] },
        { name: "lets small bodies go on beside large ones", steps: [{ ask: 60 }, { ask: 6 }, { ask: 0.05 }], outcomes: ["granted", "waits", "granted"] },
        {
            name: "gives up the place of a caller that leaves",
            steps: [{ ask: 50 }, { ask: 12 }, { ask: 5 }, { leave: 1 }],
            outcomes: ["granted", "refused", "granted"],
        },
        { name: "lets one body alone be larger than its share", steps: [{ ask: 90 }], outcomes: ["granted"] },
        { name: "counts other holders", steps: [{ answers: 40 }, { ask: 15 }, { ask: 10 }], outcomes: ["granted", "waits"] },
        { name: "grants memory that answers release", steps: [{ answers: 40 }, { ask: 15 }, { ask: 10 }, { answers: -40 }], outcomes: ["granted", "granted"] },
    ];
    for (const { name, steps, outcomes } of cases) {
        it(name, async () => {
            const bodies: Asked[] = [];
            for (const step of steps) {
                if ("ask" in step) {
                    bodies.push(await ask(step.ask * megabyte));
                }
                else if ("release" in step) {
                    await release(bodies[step.release]!);
                }
                else if ("leave" in step) {
                    bodies[step.leave]!.abort.abort();
                }
                else if ("answers" in step) {
                    budget.charge(MemoryHolder.Answers, step.answers * megabyte);
                }
                else {
                    clock.tick(step.passMs);
                }
                await settle();
            }
            assert.deepEqual(bodies.map(({ result }) => result ? result.isGranted ? "granted" : "refused" : "waits"), outcomes);
        });
    }

    // Guards against bodies that wait until their time has passed although the limit has risen.
    it("grants what fits once the limit rises, although nothing is released", async () => {
        let currentBytes = limitBytes;
        budget = MemoryBudget.create({ limitBytes: () => currentBytes, random: () => 0.5 });
        await ask(55 * megabyte);
        const waiting = await ask(6 * megabyte);
        clock.tick(waitMs / 2);
        await settle();
        assert.ok(!("result" in waiting));
        currentBytes = 2 * limitBytes;
        clock.tick(waitMs / 4);
        await settle();
        assert.ok(waiting.result?.isGranted);
        assert.equal(clock.countTimers(), 0);
    });

    // Guards against small requests that are refused because the bodies that wait were counted in their part of the memory.
    it("grants small bodies beside many that wait, and refuses at once those for which there is no room to wait", async () => {
        await ask(60 * megabyte);
        const large = [];
        for (let index = 0; index < 200; index++) {
            large.push(await ask(0.1 * megabyte, 60_000));
        }
        const small = await ask(1_000);
        assert.ok(small.result?.isGranted);
        assert.ok(budget.usedBy(MemoryHolder.UnreadBodies) <= 0.1 * limitBytes);
        assert.ok(large.some(({ result }) => result?.isGranted === false));
    });

    // Guards against small requests that are refused at once, because large bodies have taken all room to wait.
    it("lets a small body wait for its own part beside large ones that fill the room to wait", async () => {
        await ask(60 * megabyte);
        for (let index = 0; index < 200; index++) {
            await ask(0.1 * megabyte, 60_000);
        }
        budget.charge(MemoryHolder.Answers, 10 * megabyte);
        const small = await ask(1_000, 60_000);
        assert.ok(!("result" in small), "refused at once");
        budget.charge(MemoryHolder.Answers, -10 * megabyte);
        await settle();
        assert.ok(small.result?.isGranted);
    });

    it("tells refused callers to come again one after the other, as memory becomes free", async () => {
        await ask(60 * megabyte);
        const delaysMs: number[] = [];
        for (let index = 0; index < 10; index++) {
            const { result } = await ask(30 * megabyte, 0);
            assert.ok(result?.isGranted === false);
            delaysMs.push(result.retryAfterMs);
        }
        // 60 MB are assumed to become free in 2 s.
        assert.ok(delaysMs.every((delayMs, index) => index === 0 || delayMs - delaysMs[index - 1]! >= 900), delaysMs.join(" "));
    });

    it("says what was asked and what fills the memory", async () => {
        budget.charge(MemoryHolder.Answers, 10);
        await ask(60 * megabyte);
        const { result } = await ask(30 * megabyte, 0);
        assert.ok(result?.isGranted === false);
        const { askedBytes, usedBytes, usedByHolder } = result.memory;
        assert.deepEqual({ askedBytes, usedBytes, usedByHolder }, {
            askedBytes: 30 * megabyte,
            usedBytes: 60 * megabyte + 10,
            usedByHolder: { [MemoryHolder.Answers]: 10, [MemoryHolder.Bodies]: 60 * megabyte },
        });
    });

    it("never grants more than its share, gives everything back, and answers every body", async () => {
        const step = fc.record({
            bytes: fc.integer({ min: 1, max: 20 * megabyte }),
            isSmall: fc.boolean(),
            released: fc.nat(30),
            leaves: fc.nat(60),
            passMs: fc.nat(300),
        });
        await fc.assert(
            fc.asyncProperty(fc.array(step, { maxLength: 60 }), async steps => {
                budget = MemoryBudget.create({ limitBytes: () => limitBytes, random: () => 0.5 });
                const bodies: Asked[] = [];
                for (const { bytes, isSmall, released, leaves, passMs } of steps) {
                    bodies.push(await ask(isSmall ? bytes % 65_536 + 1 : bytes));
                    const body = bodies[released];
                    if (body?.result?.isGranted) {
                        body.result.release();
                    }
                    bodies[leaves]?.abort.abort();
                    clock.tick(passMs);
                    await settle();
                    assert.ok(budget.usedBy(MemoryHolder.Bodies) <= 0.7 * limitBytes);
                }
                for (let round = 0; round < 100 && bodies.some(({ result }) => !result); round++) {
                    bodies.forEach(({ result }) => result?.isGranted && result.release());
                    clock.tick(waitMs);
                    await settle();
                }
                assert.deepEqual(bodies.filter(({ result }) => !result), []);
                bodies.forEach(({ result }) => result?.isGranted && result.release());
                assert.deepEqual([budget.usedBytes, budget.waiting], [0, 0]);
            }),
            { seed: 41, numRuns: 100 },
        );
    });
});

describe("the memory that a process may use for its callers", () => {
    const statedBytes = 350 * megabyte;
    const limitMb = (rssMb: number, heapMb: number): number =>
        Math.round(memoryLimitOf(statedBytes, { rss: rssMb * megabyte, heapTotal: heapMb * megabyte }) / megabyte);

    it("sinks with the heap, and with a resident size that nears the stated limit", () => {
        assert.ok(limitMb(100, 30) > 150);
        assert.equal(limitMb(100, 30) - limitMb(100, 90), 60);
        assert.equal(limitMb(310, 30), limitMb(100, 30));
        assert.equal(limitMb(340, 30), limitMb(100, 30) - 30);
    });

    it("is never nothing", () => {
        assert.ok(limitMb(400, 160) > 0);
    });
});

import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { setupLogs } from "../src/utils/events";
import { createRandom, pick } from "../src/utils/random";
import { sleep } from "../src/utils/time";
import { ServingFleet } from "./fakes/servingFleet";

/** From this time after a limit was first named, a runner may get so many requests in each window. */
const contactMs = 3_000;
const windowMs = 4_000;
const maxOfWindow = (limitPerS: number): number => 1.5 * limitPerS * windowMs / 1_000 + 5;
const requestIntervalMs = 30;
const playMs = 11_000;

interface Case {
    readonly name: string;
    readonly runnerCount: number;
    /** Runners that name a limit, and the limit in requests per second. */
    readonly limitedCount: number;
    readonly limitPerS: number;
    /** Minimum share of the requests that are served after contactMs. */
    readonly minServedShare: number;
    /** Minimum requests that the limited runners get after contactMs, as a share of their limits. */
    readonly minUsedShare: number;
}

const cases: readonly Case[] = [
    { name: "one a second, less than one for each node", runnerCount: 3, limitedCount: 2, limitPerS: 1, minServedShare: 0.95, minUsedShare: 0 },
    { name: "a decimal number", runnerCount: 4, limitedCount: 2, limitPerS: 0.4, minServedShare: 0.95, minUsedShare: 0 },
    { name: "all runners of a service", runnerCount: 3, limitedCount: 3, limitPerS: 4, minServedShare: 0.3, minUsedShare: 0.7 },
];

const receivedBetween = (fleet: ServingFleet, index: number, from: number, to: number): number =>
    fleet.runners[index]!.received.filter(({ at }) => at >= from && at < to).length;

describe("a limit that a runner names", { concurrency: 1 }, () => {
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));

    for (const { name, runnerCount, limitedCount, limitPerS, minServedShare, minUsedShare } of cases) {
        it(`is kept by all nodes together: ${name}`, async t => {
            const random = createRandom(11);
            const fleet = await ServingFleet.create(7, runnerCount, { crashParts: new Set(), restartMs: 1_000 });
            t.after(() => fleet.close());
            const results: { readonly at: number; readonly status?: number; readonly afterMs: number; readonly retryAfter?: unknown; }[] = [];
            const pending: Promise<unknown>[] = [];
            await sleep(1_500);
            const startedAt = performance.now();
            const limited = fleet.runners.slice(0, limitedCount);
            limited.forEach(runner => runner.limitPerS = limitPerS);
            while (performance.now() - startedAt < playMs) {
                const at = performance.now();
                const call = fleet.call(pick(fleet.nodes, random)!, ["a", `c${Math.floor(random() * 4)}`]);
                pending.push(call.then(({ status, afterMs, headers }) => results.push({ at, status, afterMs, retryAfter: headers["retry-after"] })));
                await sleep(requestIntervalMs);
            }
            await Promise.all(pending);
            const endedAt = performance.now();
            const usedPerS = [...limited.keys()].map(index => {
                for (let from = startedAt + contactMs; from + windowMs < endedAt; from += 100) {
                    const received = receivedBetween(fleet, index, from, from + windowMs);
                    assert.ok(received <= maxOfWindow(limitPerS), `${received} requests in ${windowMs} ms, allowed ${maxOfWindow(limitPerS)}`);
                }
                return receivedBetween(fleet, index, startedAt + contactMs, startedAt + playMs) / ((playMs - contactMs) / 1_000);
            });
            const totalPerS = usedPerS.reduce((sum, perS) => sum + perS, 0);
            assert.ok(totalPerS >= minUsedShare * limitPerS * limitedCount, `${usedPerS.join(" ")} requests a second of ${limitPerS} each`);
            const later = results.filter(({ at }) => at > startedAt + contactMs);
            const served = later.filter(({ status }) => status === 200).length;
            assert.ok(served >= minServedShare * later.length, `${served} of ${later.length} requests served`);
            const refused = later.filter(({ status }) => status === 503);
            assert.deepEqual(refused.filter(({ retryAfter }) => retryAfter === undefined), [], "refusals without Retry-After");
            assert.ok(refused.every(({ afterMs }) => afterMs < 500), "requests that cannot be served are refused at once");
        });
    }

    it("no longer counts once the runner does not name it", async t => {
        const fleet = await ServingFleet.create(7, 1, { crashParts: new Set(), restartMs: 1_000 });
        t.after(() => fleet.close());
        const runner = fleet.runners[0]!;
        runner.limitPerS = 5;
        await sleep(1_500);
        const play = async (ms: number): Promise<number> => {
            const before = runner.received.length;
            const endsAt = performance.now() + ms;
            while (performance.now() < endsAt) {
                void fleet.call(fleet.nodes[runner.received.length % fleet.nodes.length]!, ["a", "c"]);
                await sleep(requestIntervalMs);
            }
            return (runner.received.length - before) * 1_000 / ms;
        };
        await play(contactMs);
        const limitedPerS = await play(3_000);
        assert.ok(limitedPerS < 1.5 * 5 + 2, `limited: ${limitedPerS} requests a second`);
        runner.limitPerS = undefined;
        await play(contactMs);
        assert.ok(await play(2_000) > 15, "not limited any more");
        await sleep(2_500);
    });
});

import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { sleep } from "../src/utils/time";
import { judgeBrittleTime } from "./fakes/brittleJudge";
import { BrittleProcesses } from "./fakes/brittleProcesses";
import { waitFor } from "./fakes/processes";
import { countOutcomes, describeCalls, SteadyOutcome } from "./fakes/steadyCallers";

const upstreamCount = 6;
const contactMs = 3_000;
const calmMs = 3_000;
const brittleMs = 12_000;
const afterMs = 5_000;
/** Share of what the slots bear that is served at least, once the upstreams may let fewer requests wait. */
const minServedShare = 0.7;

/** Guards against nodes that together turn so many requests to a brittle upstream that it falls over. */
describe("a busy service whose upstreams are brittle", () => {
    interface Case {
        readonly name: string;
        readonly load: number;
        readonly allowedPerS: number;
    }
    const cases: readonly Case[] = [
        { name: "1.2 times what its slots bear, 5 rejections a second", load: 1.2, allowedPerS: 5 },
        { name: "1.5 times what its slots bear, 3 rejections a second", load: 1.5, allowedPerS: 3 },
    ];
    for (const [index, { name, load, allowedPerS }] of cases.entries()) {
        it(`keeps its upstreams up: ${name}`, async t => {
            const fleet = await BrittleProcesses.start(upstreamCount, contactMs, index + 1);
            const stopped = new AbortController();
            try {
                const isServing = async (): Promise<boolean> => {
                    const first = await fleet.runCallers(20, 99, AbortSignal.timeout(300));
                    return first.length > 0 && first.every(({ outcome }) => outcome === SteadyOutcome.Served);
                };
                await waitFor("answers of all nodes", isServing);
                const running = fleet.runCallers(load * fleet.capacityPerS, index + 1, stopped.signal);
                await sleep(calmMs);
                const time = await fleet.beBrittle(allowedPerS, brittleMs);
                await sleep(afterMs);
                stopped.abort();
                const calls = await running;
                const inForce = calls.filter(({ sentAt }) => sentAt >= time.from + contactMs && sentAt < time.to);
                const calm = calls.filter(({ sentAt }) => sentAt < time.from);
                const peaks = fleet.upstreams.map(({ peakRejections }) => peakRejections).join();
                const seen = `before: ${describeCalls(calm)}; in force: ${
                    describeCalls(inForce)
                }; fallen ${fleet.falls.length}; rejections in a second ${peaks}`;
                t.diagnostic(seen);
                assert.deepEqual(judgeBrittleTime(time, fleet.falls, () => true), [], seen);
                assert.ok(countOutcomes(inForce)[SteadyOutcome.Served] >= minServedShare * fleet.capacityPerS * (brittleMs - contactMs) / 1_000, seen);
                const once = calls.filter(({ path }) => path.startsWith("/non_idempotent/"));
                assert.deepEqual(once.filter(({ id }) => fleet.runsOf(id) > 1), [], "nothing runs twice");
                assert.deepEqual(
                    once.filter(({ id, outcome }) => outcome === SteadyOutcome.Refused && fleet.runsOf(id) > 0),
                    [],
                    "what is refused has not run",
                );
            }
            finally {
                stopped.abort();
                fleet.close();
            }
        });
    }
});

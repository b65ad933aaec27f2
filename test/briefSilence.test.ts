import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRandom } from "../src/utils/random";
import { sleep } from "../src/utils/time";
import { CutFleet } from "./fakes/cutFleet";
import { waitFor } from "./fakes/processes";

const callersPerNode = 10;
const nodeCount = 3;
const calmMs = 2_000;
const betweenMs = 3_000;
/** Subnets of the fleets of other test files are others. */
const firstSubnet = 60;

/** Guards against nodes that run requests twice, or give them up, as sound upstreams fall silent for a moment. */
describe("a brief silence of sound upstreams", { concurrency: 2 }, () => {
    const cases = [
        { name: "all of them", silenceMs: 1_000, service: undefined },
        { name: "all of them", silenceMs: 1_300, service: undefined },
        { name: "all of one service", silenceMs: 1_500, service: "idempotent" },
    ] as const;
    for (const [index, { name, silenceMs, service }] of cases.entries()) {
        it(`costs no request: ${name}, ${silenceMs} ms`, async () => {
            const fleet = await CutFleet.start(firstSubnet + index);
            const ended = new AbortController();
            try {
                await waitFor("answers of all nodes", () => fleet.isServing());
                const callers = [...Array(nodeCount * callersPerNode).keys()].map(caller =>
                    fleet.runCaller(caller % nodeCount, `c${caller}`, createRandom(index * 1_000 + caller), ended.signal)
                );
                await sleep(calmMs);
                const silentAt = performance.now();
                for (let count = 0; count < 3; count++) {
                    await fleet.silenceUpstreams(silenceMs, service);
                    await sleep(betweenMs);
                }
                ended.abort();
                await Promise.all(callers);
                const failed = fleet.calls.filter(({ isServed }) => !isServed).map(({ kind, status, sentAt, endedAt }) =>
                    `${kind} ${status} at ${Math.round(sentAt - silentAt)} after ${Math.round(endedAt - sentAt)}`
                );
                assert.deepEqual(failed, [], `of ${fleet.calls.length}`);
                const once = fleet.calls.filter(({ kind }) => kind === "non_idempotent");
                assert.deepEqual(once.filter(({ id }) => fleet.runsOf(id) > 1), [], "nothing runs twice");
            }
            finally {
                ended.abort();
                fleet.close();
            }
        });
    }
});

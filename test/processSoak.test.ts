import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { runSoak } from "./processSoak/runSoak";

const seconds = 8;

/** Seeds of CI: one for each session, and each seed that failed once, with its cause. */
const seeds: readonly { readonly seed: number; readonly cause?: string; }[] = [
    { seed: 1 },
    { seed: 215, cause: "an order that a report counted before it was given up blocked its runner for good" },
];

describe("nodes as processes, with faults from outside", () => {
    for (const { seed, cause } of seeds) {
        it(`keep their promises (seed ${seed}${cause === undefined ? "" : `, once broken: ${cause}`})`, async () => {
            const { violations: broken, requestCount: asked } = await runSoak(seed, seconds);
            assert.deepEqual(broken, []);
            assert.ok(asked > 100, `${asked} requests`);
        });
    }
});

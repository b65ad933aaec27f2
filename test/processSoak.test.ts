import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { runSoak } from "./processSoak/runSoak";

const seconds = 8;

/** Seeds that CI runs: one without a known fault, and each seed that failed before, with the cause. */
const seeds: readonly { readonly seed: number; readonly cause?: string; }[] = [
    { seed: 1 },
    { seed: 215, cause: "an order that a report counted before it was given up blocked its runner for good" },
];

describe("nodes as processes under injected faults", () => {
    for (const { seed, cause } of seeds) {
        it(`keep their guarantees (seed ${seed}${cause === undefined ? "" : `, regression: ${cause}`})`, async () => {
            const { violations, requestCount } = await runSoak(seed, seconds);
            assert.deepEqual(violations, []);
            assert.ok(requestCount > 100, `${requestCount} requests`);
        });
    }
});

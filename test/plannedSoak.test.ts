import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { runSoak } from "./processSoak/runSoak";

const faultSeconds = 1;

/** Seeds with planned work that CI runs: each failed before, with the cause. */
const seeds: readonly { readonly seed: number; readonly cause: string; }[] = [
    { seed: 58004, cause: "a stopping node closed its listener while requests waited in the backlog" },
];

describe("nodes as processes under planned work that overlaps", () => {
    for (const { seed, cause } of seeds) {
        it(`keep their guarantees (seed ${seed}, regression: ${cause})`, async () => {
            const { violations, requestCount } = await runSoak(seed, faultSeconds);
            assert.deepEqual(violations, []);
            assert.ok(requestCount > 100, `${requestCount} requests`);
        });
    }
});

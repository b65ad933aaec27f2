import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { exitMarginMs } from "../src/core/exitMargin";

/** Guards against a stopping node that counts on short turns of its event loop and is killed by the platform. */
describe("the time before the end of the grace period at which a stopping node ends", () => {
    const cases: readonly { readonly turnMs: number; readonly graceMs: number; readonly marginMs: number; }[] = [
        { turnMs: 0, graceMs: 8_000, marginMs: 600 },
        { turnMs: 100, graceMs: 8_000, marginMs: 600 },
        { turnMs: 250, graceMs: 8_000, marginMs: 1_200 },
        { turnMs: 400, graceMs: 8_000, marginMs: 1_333 },
        { turnMs: 4_000, graceMs: 8_000, marginMs: 1_333 },
        { turnMs: 400, graceMs: 6_000, marginMs: 1_000 },
        { turnMs: 0, graceMs: 1_000, marginMs: 600 },
    ];
    for (const { turnMs, graceMs, marginMs } of cases) {
        it(`is ${marginMs} ms of ${graceMs} with turns of ${turnMs} ms`, () => assert.equal(exitMarginMs(turnMs, graceMs), marginMs));
    }
});

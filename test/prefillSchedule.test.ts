import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { ScheduledPrefill } from "../src/core/prefillSchedule";
import { isShortPrefill, maxPrefillShare, prefillWaitMs } from "../src/core/prefillSchedule";

const now = 10_000;
const gapMs = 600;
/** A prompt of 9,190 tokens; two of them exceeded a gap of 600 ms. */
const longMs = 239;
const began = (agoMs: number, prefillMs: number, isPassing = false): ScheduledPrefill => ({ startedAt: now - agoMs, prefillMs, isPassing });

/** Guards against prompts that follow each other so closely that the events of streams are late. */
describe("the reading of prompts", () => {
    interface Case {
        readonly name: string;
        readonly prefills: readonly ScheduledPrefill[];
        readonly prefillMs: number;
        readonly gapMs?: number;
        readonly waitMs: number;
    }
    const cases: readonly Case[] = [
        { name: "begins at once at an idle runner", prefills: [], prefillMs: longMs, waitMs: 0 },
        { name: "begins at once at an idle runner if it takes longer than its part of a gap", prefills: [], prefillMs: 2_000, waitMs: 0 },
        { name: "waits until the first of two long ones is as long ago as a gap", prefills: [began(100, longMs)], prefillMs: longMs, waitMs: 500 },
        { name: "begins beside short ones", prefills: [began(100, 30), began(50, 30)], prefillMs: longMs, waitMs: 0 },
        { name: "waits until enough of the others no longer count", prefills: [began(500, 150), began(100, 150)], prefillMs: 140, waitMs: 100 },
        { name: "waits longer after one that took more than its part of a gap", prefills: [began(100, 600)], prefillMs: 10, waitMs: 1_100 },
        { name: "waits for a longer time where gaps are shorter", prefills: [began(100, 60)], prefillMs: 60, gapMs: 200, waitMs: 100 },
        { name: "leaves part of a gap to short ones that did not wait", prefills: [began(100, 140), began(50, 100, true)], prefillMs: 100, waitMs: 500 },
        {
            name: "is not held up by short ones that did not wait alone",
            prefills: [0, 1, 2, 3].map(index => began(index, 200, true)),
            prefillMs: 500,
            waitMs: 0,
        },
        { name: "counts nothing that began longer ago than a gap", prefills: [began(600, 300)], prefillMs: 300, waitMs: 0 },
    ];
    for (const { name, prefills, prefillMs, gapMs: caseGapMs = gapMs, waitMs } of cases) {
        it(name, () => assert.equal(prefillWaitMs(prefills, prefillMs, caseGapMs, now), waitMs));
    }

    it("takes no more than its part of any time as long as a gap, and all get their turn", () => {
        const arrival = fc.record({ afterMs: fc.integer({ min: 0, max: 200 }), prefillMs: fc.integer({ min: 1, max: maxPrefillShare * gapMs }) });
        fc.assert(
            fc.property(fc.array(arrival, { minLength: 1, maxLength: 60 }), arrivals => {
                const prefills: ScheduledPrefill[] = [];
                let at = 0;
                for (const { afterMs, prefillMs } of arrivals) {
                    at += afterMs;
                    at += prefillWaitMs(prefills, prefillMs, gapMs, at);
                    prefills.push({ startedAt: at, prefillMs, isPassing: false });
                }
                for (const { startedAt } of prefills) {
                    const within = prefills.filter(other => other.startedAt >= startedAt && other.startedAt < startedAt + gapMs);
                    assert.ok(within.reduce((sum, { prefillMs }) => sum + prefillMs, 0) <= maxPrefillShare * gapMs);
                }
                const totalMs = prefills.reduce((sum, { prefillMs }) => sum + prefillMs, 0);
                const arrivalMs = arrivals.reduce((sum, { afterMs }) => sum + afterMs, 0);
                assert.ok(at <= arrivalMs + 4 * totalMs / maxPrefillShare + gapMs, `${at} ms`);
            }),
            { seed: 11 },
        );
    });

    it("is short if it takes less than a tenth of the gap", () => {
        assert.deepEqual([21, 59, 60, longMs].map(ms => isShortPrefill(ms, gapMs)), [true, true, false, false]);
    });
});

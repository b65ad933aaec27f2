import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { ServingNeed, TimedRequest } from "../src/core/servableTime";
import { completionLeftMs, drawReturnMs, firstEventLeftMs, isFirstEventTooLate, servableTimeOf } from "../src/core/servableTime";
import { createRandom } from "../src/utils/random";

const base: TimedRequest = { startedAt: 1_000, deadlineAt: 7_000, patienceMs: 2_000, hasPart: false };
const now = 1_500;

describe("the time by which a request has to be served", () => {
    const cases: readonly {
        readonly name: string;
        readonly req: Partial<TimedRequest>;
        readonly need?: Partial<ServingNeed>;
        readonly waitMs?: number;
        readonly firstEventMs: number;
        readonly completionMs: number;
        readonly isTooLate: boolean;
    }[] = [
        { name: "is the patience limit for the first event", req: {}, firstEventMs: 1_500, completionMs: 1_500 + 900, isTooLate: false },
        {
            name: "does not bound the rest of a stream by patience",
            req: {},
            need: { completionMs: 5_000 },
            firstEventMs: 1_500,
            completionMs: 5_500,
            isTooLate: false,
        },
        {
            name: "is missed by a wait that ends too late for the first event",
            req: {},
            waitMs: 1_450,
            firstEventMs: 1_500,
            completionMs: 2_400,
            isTooLate: true,
        },
        {
            name: "is missed by a slow first event",
            req: {},
            need: { firstEventMs: 1_600, completionMs: 2_000 },
            firstEventMs: 1_500,
            completionMs: 1_900,
            isTooLate: true,
        },
        { name: "is an earlier deadline", req: { deadlineAt: 2_200 }, firstEventMs: 700, completionMs: 700, isTooLate: false },
        {
            name: "is the deadline on routes without a patience limit",
            req: { patienceMs: undefined },
            waitMs: 9_000,
            firstEventMs: 5_500,
            completionMs: 5_500,
            isTooLate: false,
        },
        {
            name: "is the deadline for a caller that has a part of the stream",
            req: { hasPart: true },
            waitMs: 1_450,
            firstEventMs: 5_500,
            completionMs: 5_500,
            isTooLate: false,
        },
    ];
    for (const { name, req, need: partialNeed, waitMs = 0, firstEventMs, completionMs, isTooLate } of cases) {
        it(name, () => {
            const time = servableTimeOf({ ...base, ...req });
            const need = { firstEventMs: 100, completionMs: 1_000, ...partialNeed };
            assert.deepEqual([firstEventLeftMs(time, now), completionLeftMs(time, need, now)], [firstEventMs, completionMs]);
            assert.equal(isFirstEventTooLate(time, need, waitMs, now), isTooLate);
        });
    }
});

describe("the time at which a refused caller comes back", () => {
    const cases = [
        { name: "is spread after there is room", readyInMs: 1_000, remainingMs: 6_000, least: 1_000, most: 1_500 },
        { name: "keeps to what callers follow", readyInMs: 1_000, remainingMs: 3_600, least: 1_000, most: 1_200 },
        { name: "is spread if there is room at once, so that callers do not come back together", readyInMs: 0, remainingMs: 6_000, least: 0, most: 200 },
        { name: "is never before there is room, though the caller will not follow it", readyInMs: 5_000, remainingMs: 6_000, least: 5_000, most: 7_500 },
    ];
    for (const { name, readyInMs, remainingMs, least, most } of cases) {
        it(name, () => {
            const random = createRandom(3);
            const times = [...Array(300)].map(() => drawReturnMs(readyInMs, remainingMs, random)).sort((a, b) => a - b);
            assert.ok(times[0]! >= least && times.at(-1)! <= most, `${times[0]} to ${times.at(-1)}`);
            assert.ok(times.at(-1)! - times[0]! > 0.9 * (most - least), "not spread");
        });
    }
});

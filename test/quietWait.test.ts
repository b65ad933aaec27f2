import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { QuietSituation } from "../src/core/quietWait";
import { decideOnQuiet } from "../src/core/quietWait";
import { WaitingRequests } from "../src/core/waitingRequests";
import { createRandom } from "../src/utils/random";

const upstreamsOf = (...times: readonly number[]) => times.map((quietMs, index) => ({ id: `u${index}`, quietMs, slots: 4 }));
const base: QuietSituation = { upstreams: upstreamsOf(200), hasWaited: false, ahead: 0, neededMs: 50, objectiveMs: 500, remainingMs: 3_000 };

describe("decision for a request whose upstreams all asked for quiet", () => {
    const cases: readonly { readonly name: string; readonly situation: Partial<QuietSituation>; readonly mayWait: boolean; }[] = [
        { name: "waits if the objective can be met", situation: {}, mayWait: true },
        { name: "waits for the first of several ends", situation: { upstreams: upstreamsOf(9_000, 200) }, mayWait: true },
        {
            name: "is refused if its caller gives up before the end",
            situation: { upstreams: upstreamsOf(900), remainingMs: 800, deadlineMs: 3_000 },
            mayWait: false,
        },
        {
            name: "is refused if its caller, which gives up soon, can come back before the deadline",
            situation: { upstreams: upstreamsOf(700), remainingMs: 800, deadlineMs: 3_000 },
            mayWait: false,
        },
        { name: "is refused if its caller can come back in time", situation: { upstreams: upstreamsOf(900) }, mayWait: false },
        { name: "waits if its caller would come back before the end", situation: { upstreams: upstreamsOf(1_100) }, mayWait: true },
        { name: "is refused if the end is too late for an answer", situation: { upstreams: upstreamsOf(2_990) }, mayWait: false },
        { name: "is refused if those that wait take all the time", situation: { ahead: 100 }, mayWait: false },
        { name: "goes on to wait although its caller could come back now", situation: { upstreams: upstreamsOf(900), hasWaited: true }, mayWait: true },
        { name: "stops waiting if quiet was extended beyond its deadline", situation: { upstreams: upstreamsOf(2_990), hasWaited: true }, mayWait: false },
    ];
    for (const { name, situation, mayWait } of cases) {
        it(name, () => assert.equal(decideOnQuiet({ ...base, ...situation }, createRandom(1)).mayWait, mayWait));
    }

    it("spreads returning callers over the ends that they can await, and none before the first", () => {
        const random = createRandom(7);
        const situation = { ...base, upstreams: upstreamsOf(600, 900, 60_000), objectiveMs: 100 };
        const times = [...Array(400)].map(() => {
            const decision = decideOnQuiet(situation, random);
            return decision.mayWait ? 0 : decision.retryAfterMs;
        }).sort((a, b) => a - b);
        const perTenthOfSecond = new Map<number, number>();
        times.forEach(ms => perTenthOfSecond.set(Math.floor(ms / 100), (perTenthOfSecond.get(Math.floor(ms / 100)) ?? 0) + 1));
        assert.ok(times[0]! >= 600 && times.at(-1)! < 1_200, `${times[0]} to ${times.at(-1)}`);
        assert.ok(Math.max(...perTenthOfSecond.values()) < 140, JSON.stringify([...perTenthOfSecond]));
    });

    it("counts the requests that began to wait before", () => {
        const waiting = WaitingRequests.create();
        const requests = [{}, {}, {}];
        [...requests, requests[0]!].forEach(req => waiting.add("s", req));
        assert.deepEqual([...requests, {}].map(req => waiting.countAhead("s", req)), [0, 1, 2, 3]);
        requests.slice(0, 2).forEach(req => waiting.remove("s", req));
        assert.deepEqual([waiting.countAhead("s", requests[2]!), waiting.countAhead("other", {}), waiting.size], [1, 0, 1]);
    });
});

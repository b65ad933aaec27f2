import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { BrittleFall } from "./fakes/brittleJudge";
import { judgeBrittleTime } from "./fakes/brittleJudge";

/** Guards against a judge that misses upstreams which fall over too often, or names those that nodes out of touch made fall. */
describe("the judge of brittle upstreams", () => {
    const service = "desk";
    const fall = (changes: Partial<BrittleFall> = {}): BrittleFall => ({ service, upstream: "u", at: 5_000, rejected: ["in", "in"], ...changes });
    const repeat = (count: number, changes: Partial<BrittleFall> = {}): readonly BrittleFall[] => [...Array(count).keys()].map(() => fall(changes));

    interface Case {
        readonly name: string;
        readonly upstreams: number;
        readonly falls: readonly BrittleFall[];
        readonly isBroken: boolean;
    }
    const cases: readonly Case[] = [
        { name: "allows two falls of six", upstreams: 6, falls: repeat(2), isBroken: false },
        { name: "names three falls of six", upstreams: 6, falls: repeat(3), isBroken: true },
        { name: "allows three falls of ten", upstreams: 10, falls: repeat(3), isBroken: false },
        { name: "names four falls of ten", upstreams: 10, falls: repeat(4), isBroken: true },
        { name: "allows eight falls of sixty", upstreams: 60, falls: repeat(8), isBroken: false },
        { name: "names nine falls of sixty", upstreams: 60, falls: repeat(9), isBroken: true },
        { name: "does not count falls before the time", upstreams: 6, falls: repeat(3, { at: 999 }), isBroken: false },
        { name: "counts falls from the begin of the time", upstreams: 6, falls: repeat(3, { at: 1_000 }), isBroken: true },
        { name: "does not count falls after the time", upstreams: 6, falls: repeat(3, { at: 9_000 }), isBroken: false },
        { name: "does not count falls of another service", upstreams: 6, falls: repeat(3, { service: "counter" }), isBroken: false },
        { name: "does not count falls by nodes out of touch", upstreams: 6, falls: repeat(3, { rejected: ["in", "out", "out"] }), isBroken: false },
        { name: "does not count falls that are half by nodes out of touch", upstreams: 6, falls: repeat(3, { rejected: ["in", "out"] }), isBroken: false },
        { name: "counts falls that are mostly by nodes in touch", upstreams: 6, falls: repeat(3, { rejected: ["in", "in", "out"] }), isBroken: true },
    ];
    for (const { name, upstreams, falls, isBroken } of cases) {
        it(name, () => {
            const violations = judgeBrittleTime({ service, from: 1_000, to: 9_000, upstreams }, falls, id => id === "in");
            assert.equal(violations.length, isBroken ? 1 : 0, violations.join());
        });
    }
});

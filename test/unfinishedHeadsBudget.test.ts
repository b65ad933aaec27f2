import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { UnfinishedHeads } from "../src/core/unfinishedHeads";

/** Leaves 300,000 bytes for heads. */
const heapLimitBytes = 2_000_000;

describe("the budget of heads that have not been read to their end", () => {
    /** Heads as they are read: connection, bytes of text, number of headers; connections without bytes are released. */
    type Step = readonly [connection: string, bytes?: number, headers?: number];
    const busy = new Set(["busy", "busy2"]);
    const cases: readonly { readonly name: string; readonly steps: readonly Step[]; readonly closed: readonly string[]; readonly used: number; }[] = [
        { name: "keeps what fits", steps: [["a", 100_000], ["b", 200_000]], closed: [], used: 300_000 },
        { name: "counts a head once that grows", steps: [["a", 100_000], ["a", 200_000], ["a", 300_000]], closed: [], used: 300_000 },
        { name: "counts headers beside their text", steps: [["a", 100_000, 1_000], ["b", 50_000]], closed: ["a"], used: 50_000 },
        {
            name: "closes the oldest of those that are alike",
            steps: [["a", 100_000], ["b", 100_000], ["c", 100_000], ["d", 100_000]],
            closed: ["a"],
            used: 300_000,
        },
        { name: "keeps small ones, also old ones", steps: [["a", 1_000], ["b", 200_000], ["c", 150_000]], closed: ["b"], used: 151_000 },
        { name: "keeps a small one that begins when there is no room", steps: [["a", 299_500], ["b", 1_000]], closed: ["a"], used: 1_000 },
        { name: "closes a head that is too large by itself", steps: [["a", 300_001]], closed: ["a"], used: 0 },
        { name: "closes those with unanswered requests last", steps: [["busy", 100_000], ["b", 150_000], ["c", 100_000]], closed: ["b"], used: 200_000 },
        {
            name: "closes those with unanswered requests if there are no others",
            steps: [["busy", 200_000], ["busy2", 150_000]],
            closed: ["busy"],
            used: 150_000,
        },
        { name: "counts the age of a head from its first byte", steps: [["a", 0], ["b", 160_000], ["a", 160_000]], closed: ["b"], used: 160_000 },
        { name: "has room again for what was released", steps: [["a", 300_000], ["a"], ["b", 300_000]], closed: [], used: 300_000 },
    ];
    for (const { name, steps, closed, used } of cases) {
        it(name, () => {
            const heads = UnfinishedHeads.create<string>({ heapLimitBytes: () => heapLimitBytes });
            const seen: string[] = [];
            for (const [connection, bytes, headers = 0] of steps) {
                if (bytes === undefined) {
                    heads.release(connection);
                }
                else {
                    seen.push(...heads.hold(connection, bytes, headers, name => busy.has(name)));
                }
            }
            assert.deepEqual(seen, closed);
            assert.equal(heads.usedBytes, used);
            assert.equal(heads.givenUp, closed.length);
        });
    }

    it("knows when connections that are not closed yet hold as much as all others may", () => {
        const heads = UnfinishedHeads.create<string>({ heapLimitBytes: () => heapLimitBytes });
        const seen = ["a", "b", "c", "d"].map(name => {
            heads.hold(name, 200_000, 0);
            return heads.isAwaitingCloses;
        });
        assert.deepEqual(seen, [false, false, true, true]);
        ["a", "b"].forEach(name => heads.release(name));
        assert.equal(heads.isAwaitingCloses, false);
    });
});

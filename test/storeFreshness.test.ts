import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { StoreFreshness } from "../src/core/storeFreshness";

const limitMs = 2_000;

describe("the age of what a node knows of the store", () => {
    let now = 0;
    const create = (isSource = false): StoreFreshness => StoreFreshness.create(() => isSource, () => limitMs, () => now);

    it("is not known before the store has confirmed every table that is followed", () => {
        now = 1_000;
        const freshness = create(true);
        assert.equal(freshness.confirmedAgoMs, undefined);
        freshness.follow("op");
        freshness.follow("servers");
        assert.equal(freshness.confirmedAgoMs, undefined);
        freshness.onConfirmed("op");
        assert.equal(freshness.confirmedAgoMs, undefined);
        freshness.onConfirmed("servers");
        now += 300;
        freshness.onConfirmed("op");
        assert.equal(freshness.confirmedAgoMs, 300);
    });

    const cases: readonly {
        readonly name: string;
        readonly isSource?: boolean;
        readonly agoMs?: number;
        readonly afterMs: number;
        readonly isFresh: boolean;
    }[] = [
        { name: "a node that was told nothing reads for itself", afterMs: 0, isFresh: false },
        { name: "a node that was told a moment ago does not", agoMs: 400, afterMs: 500, isFresh: true },
        { name: "the controller's own age counts", agoMs: 1_100, afterMs: 500, isFresh: false },
        { name: "what was told lapses before the limit", agoMs: 0, afterMs: 0.75 * limitMs, isFresh: false },
        { name: "the controller reads for itself", isSource: true, agoMs: 0, afterMs: 0, isFresh: false },
    ];
    for (const { name, isSource, agoMs, afterMs, isFresh } of cases) {
        it(name, () => {
            now = 10_000;
            const freshness = create(isSource);
            if (agoMs !== undefined) {
                freshness.onControllerConfirmed(agoMs, now);
            }
            now += afterMs;
            assert.equal(freshness.isFresh, isFresh);
        });
    }
});

import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { StoreFreshness } from "../src/core/storeFreshness";

const maxAgeMs = 2_000;

describe("store freshness", () => {
    let now = 0;
    const create = (isController = false): StoreFreshness => StoreFreshness.create(() => isController, () => maxAgeMs, () => now);

    it("has no age until the store has confirmed every followed table", () => {
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
        readonly isController?: boolean;
        readonly agoMs?: number;
        readonly afterMs: number;
        readonly isFresh: boolean;
    }[] = [
        { name: "requires a read of the store without a confirmation", afterMs: 0, isFresh: false },
        { name: "spares the read after a recent confirmation", agoMs: 400, afterMs: 500, isFresh: true },
        { name: "counts the age of the controller's own state", agoMs: 1_100, afterMs: 500, isFresh: false },
        { name: "expires before the maximum age", agoMs: 0, afterMs: 0.75 * maxAgeMs, isFresh: false },
        { name: "requires a read of the store on the controller", isController: true, agoMs: 0, afterMs: 0, isFresh: false },
    ];
    for (const { name, isController, agoMs, afterMs, isFresh } of cases) {
        it(name, () => {
            now = 10_000;
            const freshness = create(isController);
            if (agoMs !== undefined) {
                freshness.onPeerConfirmed(agoMs, now);
            }
            now += afterMs;
            assert.equal(freshness.isFresh, isFresh);
        });
    }
});

import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { absentVersionIn, counterOf, createStoreVersion, eraOf, maxStoreCounter, maxStoreEra } from "../src/types/storeVersion";

describe("versions of the store", () => {
    const cases: readonly { readonly name: string; readonly earlier: readonly [number, number]; readonly later: readonly [number, number]; }[] = [
        { name: "follow the counter within an era", earlier: [1, 96], later: [1, 97] },
        { name: "put a restored store after what it had, although its counter went back", earlier: [1, 136], later: [2, 97] },
        { name: "put a restored store first whose copy was empty after what it had", earlier: [1, 136], later: [2, 0] },
        { name: "put a store that names no era before one that does", earlier: [0, 900], later: [1, 1] },
        { name: "are exact at their limits", earlier: [maxStoreEra, maxStoreCounter - 1], later: [maxStoreEra, maxStoreCounter] },
    ];
    for (const { name, earlier, later } of cases) {
        it(name, () => {
            const [before, after] = [createStoreVersion(...earlier), createStoreVersion(...later)];
            assert.ok(before < after);
            assert.deepEqual([eraOf(before), counterOf(before), eraOf(after), counterOf(after)], [...earlier, ...later]);
            assert.equal(absentVersionIn(after), createStoreVersion(later[0], 0));
        });
    }
});

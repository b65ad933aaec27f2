import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { HeapGrant } from "../src/core/requestHeap";
import { RequestHeap } from "../src/core/requestHeap";

const heapLimitBytes = 160 * 1_048_576;
/** More requests than fit, whatever their heads. */
const manyRequests = 10_000;

const fill = (heap: RequestHeap, headers: readonly string[], isFarAhead = false): HeapGrant[] => {
    const grants: HeapGrant[] = [];
    for (let count = 0; count < manyRequests; count++) {
        const result = heap.request(headers, isFarAhead);
        if (!result.isGranted) {
            return grants;
        }
        grants.push(result);
    }
    return assert.fail("requests are granted heap without end");
};

const create = (): RequestHeap => RequestHeap.create({ heapLimitBytes: () => heapLimitBytes, random: () => 0.5 });

describe("the heap of callers' requests", () => {
    const cases: readonly { readonly name: string; readonly headers: readonly string[]; }[] = [
        { name: "none", headers: [] },
        { name: "one large header", headers: ["X-Long", "v".repeat(64_000)] },
        { name: "many short headers", headers: [...Array(2_000).keys()].map(index => `a${index}`) },
    ];
    for (const { name, headers } of cases) {
        it(`ends at half of the limit, and is granted again once it was given back: ${name}`, () => {
            const heap = create();
            const grants = fill(heap, headers);
            assert.ok(heap.usedBytes <= heapLimitBytes / 2);
            const denial = heap.request(headers);
            assert.ok(!denial.isGranted && denial.retryAfterMs > 0);
            grants[0]!.release();
            grants[0]!.release();
            assert.ok(heap.request(headers).isGranted);
            assert.ok(!heap.request(headers).isGranted);
            grants.forEach(grant => grant.release());
            assert.equal(fill(heap, headers).length, grants.length - 1);
        });
    }

    it("is left to other callers by requests that were sent far ahead", () => {
        const heap = create();
        const ahead = fill(heap, [], true);
        const others = fill(heap, []);
        assert.ok(others.length >= ahead.length, `${ahead.length} far ahead, ${others.length} others`);
    });

    it("has room for as many requests with ordinary heads as the descriptors of a process allow", () => {
        const maxRequests = 1_657;
        const headers = Array.from({ length: 10 }, () => ["x".repeat(20), "v".repeat(380)]).flat();
        assert.ok(fill(create(), headers).length >= maxRequests);
    });
});

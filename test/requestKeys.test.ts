import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { RequestHead } from "../src/core/requestKeys";
import { RequestKeys } from "../src/core/requestKeys";

interface RequestContent extends RequestHead {
    readonly body: Buffer;
}

const requestKeysOf = ({ body, ...head }: RequestContent, partBytes = body.length): readonly string[] => {
    const keys = RequestKeys.create(head);
    for (let from = 0; from < body.length; from += partBytes) {
        keys.addPart(body.subarray(from, from + partBytes));
    }
    return keys.finish();
};

const base: RequestContent = { method: "POST", host: "shop.example", url: "/counter/x?page=1", body: Buffer.from("body") };
const modelRequest = { model: "m", promptTokens: 10, maxOutputTokens: 5, parts: [{ id: "a", tokens: 10 }] };

describe("keys of requests", () => {
    const cases: readonly { readonly name: string; readonly other: Partial<RequestContent>; readonly shared: readonly [boolean, boolean]; }[] = [
        { name: "are the same for the same request", other: {}, shared: [true, true] },
        { name: "differ in part with the query", other: { url: "/counter/x?page=2" }, shared: [true, false] },
        { name: "differ in part with the prompt", other: { modelRequest }, shared: [true, false] },
        { name: "differ with the path", other: { url: "/counter/y?page=1" }, shared: [false, false] },
        { name: "differ with the body", other: { body: Buffer.from("bodies") }, shared: [false, false] },
        { name: "differ with the method", other: { method: "PUT" }, shared: [false, false] },
        { name: "differ with the host", other: { host: "other.example" }, shared: [false, false] },
        { name: "differ with the credentials", other: { credentials: "Bearer a" }, shared: [false, false] },
    ];
    for (const { name, other, shared } of cases) {
        it(name, () => {
            const keys = requestKeysOf(base);
            const otherKeys = requestKeysOf({ ...base, ...other });
            assert.deepEqual(keys.map((key, index) => key === otherKeys[index]), shared);
            assert.equal(new Set(keys).size, 2);
        });
    }

    it("are the same however the body arrives, and as in earlier software versions", () => {
        const keys = ["request:7CbJt9UOJ-VPdruA", "request:ChmAlrbRSKXnoJ3s"];
        assert.deepEqual([requestKeysOf(base), requestKeysOf(base, 1), requestKeysOf(base, 3)], [keys, keys, keys]);
    });
});

import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { decodeConfig } from "../src/platform/configDecoder";

const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
const decode = (tenants: unknown) => decodeConfig(Buffer.from(JSON.stringify({ version: 1, routes: [], services: [], limits, tenants })));

describe("customers in the configuration", () => {
    const faultCases: readonly { readonly name: string; readonly tenants: unknown; readonly fault: RegExp; }[] = [
        {
            name: "are faulty if two have the same key",
            tenants: [{ name: "acme", apiKeys: ["secret-1"] }, { name: "bolt", apiKeys: ["x", "secret-1"] }],
            fault: /customers "acme" and "bolt" have the same key/,
        },
        { name: "are faulty with an empty key", tenants: [{ name: "a", apiKeys: [] }, { name: "bolt", apiKeys: [""] }], fault: /apiKeys\.0.*customer "bolt"/ },
        { name: "are faulty with a negative rate", tenants: [{ name: "acme", apiKeys: ["k"], ratePerS: -1 }], fault: /ratePerS.*customer "acme"/ },
        { name: "are faulty with a negative burst", tenants: [{ name: "acme", apiKeys: ["k"], burst: -1 }], fault: /burst.*customer "acme"/ },
        { name: "are faulty with a negative size", tenants: [{ name: "acme", apiKeys: ["k"], plainTokens: -1 }], fault: /plainTokens.*customer "acme"/ },
        { name: "are faulty with a negative priority", tenants: [{ name: "acme", apiKeys: ["k"], priority: -1 }], fault: /priority.*customer "acme"/ },
        { name: "are faulty with an unknown unit", tenants: [{ name: "acme", apiKeys: ["k"], unit: "bytes" }], fault: /unit.*customer "acme"/ },
        { name: "are faulty with a key that is no text", tenants: [{ name: "acme", apiKeys: [987_654] }], fault: /apiKeys\.0.*customer "acme"/ },
        { name: "are faulty without a name", tenants: [{ apiKeys: ["secret-1"] }], fault: /tenants\.0\.name/ },
        { name: "are faulty with a name that no header can hold", tenants: [{ name: "a\r\nb", apiKeys: ["k"] }], fault: /tenants\.0\.name/ },
        { name: "are faulty if they are no list", tenants: { acme: ["k"] }, fault: /tenants/ },
    ];
    for (const { name, tenants, fault } of faultCases) {
        it(name, () => {
            const result = decode(tenants);
            assert.ok("faults" in result, "faults");
            assert.match(result.faults.join("; "), fault);
            assert.doesNotMatch(result.faults.join("; "), /secret-1|987/, "no key in the fault");
        });
    }

    const validCases: readonly { readonly name: string; readonly tenants: unknown; readonly count: number | undefined; }[] = [
        { name: "may be absent", tenants: undefined, count: undefined },
        { name: "may be none", tenants: [], count: 0 },
        { name: "may list a key twice for one customer", tenants: [{ name: "acme", apiKeys: ["k", "k"] }], count: 1 },
        { name: "may have no limit", tenants: [{ name: "acme", apiKeys: ["k"], ratePerS: 0, burst: 0 }], count: 1 },
    ];
    for (const { name, tenants, count } of validCases) {
        it(name, () => {
            const result = decode(tenants);
            assert.ok("config" in result, "no faults");
            assert.equal(result.config.customers?.length, count);
        });
    }
});

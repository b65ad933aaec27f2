import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { explainRequest } from "../src/core/explainRequest";
import { EventId } from "../src/types/eventId";

const line = (second: number, event: EventId, fields: object): string =>
    JSON.stringify({ time: new Date(Date.UTC(2026, 0, 1, 0, 0, second)).toISOString(), event, ...fields });

describe("explanation of a request that was refused for a quiet time", () => {
    const refused = [
        line(50, EventId.QuietDecided, { request: "id-1", upstream: "u1", isWaiting: false }),
        line(50, EventId.RequestRefused, { request: "id-1", kind: "upstreams-quiet" }),
    ];
    const cases: readonly { readonly name: string; readonly context: string; readonly isNamed: boolean; }[] = [
        {
            name: "names what an upstream asked for long before",
            context: line(10, EventId.UpstreamQuiet, { upstream: "u1", leftMs: 60_000, request: "id-0" }),
            isNamed: true,
        },
        { name: "leaves out what was over", context: line(10, EventId.UpstreamQuiet, { upstream: "u1", leftMs: 20_000 }), isNamed: false },
        { name: "leaves out other upstreams", context: line(10, EventId.UpstreamQuiet, { upstream: "u2", leftMs: 60_000 }), isNamed: false },
        { name: "names an upstream that was leaving", context: line(1, EventId.UpstreamSaidLeaving, { upstream: "u1" }), isNamed: true },
    ];
    for (const { name, context, isNamed } of cases) {
        it(name, () => {
            const lines = explainRequest("id-1", new Map([["n1", [context, ...refused].join("\n")]]));
            assert.equal(lines.includes(`  n1 ${context}`), isNamed);
        });
    }
});

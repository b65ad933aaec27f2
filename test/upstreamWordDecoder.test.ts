import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { decodeUpstreamWord } from "../src/platform/upstreamWordDecoder";
import type { HeaderMap } from "../src/types/requestHeaderCodec";
import { IgnoredHeader } from "../src/types/upstreamWord";

describe("what an answer says of its upstream", () => {
    const invalid: readonly { readonly name: string; readonly headers: HeaderMap; readonly reason: IgnoredHeader; }[] = [
        { name: "leaving twice", headers: { "server-leaving": ["1", "1"] }, reason: IgnoredHeader.LeavingRepeated },
        ...["0", "", "true", "1, 1", "11"].map(text => ({
            name: `leaving "${text}"`,
            headers: { "server-leaving": text },
            reason: IgnoredHeader.LeavingValue,
        })),
        { name: "quiet twice", headers: { "retry-after": ["1", "1"] }, reason: IgnoredHeader.QuietRepeated },
        ...["", " ", "-1", "+1", "1e3", "0x10", "NaN", "Infinity", "1,5", "1 s", ".", "Wed, 21 Oct 2026 07:28:00 GMT"]
            .map(text => ({ name: `quiet "${text}"`, headers: { "retry-after": text }, reason: IgnoredHeader.QuietValue })),
        { name: "brittle twice", headers: { "server-brittle": ["8", "8"] }, reason: IgnoredHeader.BrittleRepeated },
        ...["", " ", "-1", "+1", "1.5", "8, 8", "1e3", "0x10", "NaN", "many", "1000001", "99999999999999999999"]
            .map(text => ({ name: `brittle "${text}"`, headers: { "server-brittle": text }, reason: IgnoredHeader.BrittleValue })),
    ];
    for (const { name, headers, reason } of invalid) {
        it(`is ignored with a reason: ${name}`, () => {
            const { isLeaving, quietMs, maxRejectionsPerS, ignoredHeaders } = decodeUpstreamWord(503, headers);
            assert.deepEqual([isLeaving, quietMs, maxRejectionsPerS, ignoredHeaders], [false, undefined, undefined, [reason]]);
        });
    }

    const valid: readonly {
        readonly name: string;
        readonly status: number;
        readonly headers: HeaderMap;
        readonly isLeaving?: boolean;
        readonly quietMs?: number;
        readonly maxRejectionsPerS?: number;
    }[] = [
        { name: "leaving", status: 200, headers: { "server-leaving": "1" }, isLeaving: true },
        { name: "whole seconds of quiet", status: 503, headers: { "retry-after": "2" }, quietMs: 2_000 },
        { name: "a fraction of a second of quiet", status: 503, headers: { "retry-after": "0.25" }, quietMs: 250 },
        { name: "no quiet by another status", status: 429, headers: { "retry-after": "2" } },
        { name: "no quiet by a date in an answer of another status", status: 200, headers: { "retry-after": "Wed, 21 Oct 2026 07:28:00 GMT" } },
        { name: "leaving beside an invalid time", status: 200, headers: { "server-leaving": "1", "retry-after": "soon" }, isLeaving: true },
        ...[200, 404, 421, 429, 500, 503].map(status => ({
            name: `brittle in an answer ${status}`,
            status,
            headers: { "server-brittle": " 8 " },
            maxRejectionsPerS: 8,
        })),
        { name: "brittle without any rejection", status: 200, headers: { "server-brittle": "0" }, maxRejectionsPerS: 0 },
    ];
    for (const { name, status, headers, isLeaving = false, quietMs, maxRejectionsPerS } of valid) {
        it(`is decoded: ${name}`, () => {
            const word = decodeUpstreamWord(status, headers);
            assert.deepEqual([word.isLeaving, word.quietMs, word.maxRejectionsPerS, word.ignoredHeaders], [isLeaving, quietMs, maxRejectionsPerS, []]);
        });
    }
});

import assert from "node:assert/strict";
import { after, before, describe } from "node:test";
import { RouteKind } from "../src/types/servingConfig";
import { setupLogs } from "../src/utils/events";
import type { ForwardingCase } from "./fakes/forwardingCase";
import { testForwarding } from "./fakes/forwardingCase";
import {
    answer,
    answerMisdirected,
    answerThenReset,
    answerUnsigned,
    answerUntilClose,
    answerWithError,
    answerWithOtherId,
    neverAnswer,
    refuse,
    reset,
    resetUnframedAnswer,
    resetWithData,
    sendInvalidBytes,
    truncateAnswer,
} from "./fakes/upstreamScripts";

const cases: readonly ForwardingCase[] = [
    {
        name: "relays a complete answer unchanged",
        scripts: [answer],
        status: 200,
        body: "done",
        received: 1,
        check: ({ result: { headers } }) => assert.equal(headers["server-seal"], "seal-id-1"),
    },
    { name: "relays an upstream's own failure with its signature", scripts: [answerWithError], status: 500, body: "sorry", received: 1 },
    { name: "does not resend a non-idempotent request after a reset", scripts: [reset, answer], maxAttempts: 2, status: 502, received: 1 },
    {
        name: "resends an idempotent request after a reset",
        kind: RouteKind.Idempotent,
        scripts: [reset, answer],
        maxAttempts: 2,
        status: 200,
        body: "done",
        received: 2,
    },
    {
        name: "stops after the maximum number of attempts",
        kind: RouteKind.Idempotent,
        scripts: [reset, reset, answer],
        maxAttempts: 2,
        status: 502,
        received: 2,
    },
    {
        name: "resends a request that was refused without running, even if it is not idempotent",
        scripts: [refuse, answer],
        status: 200,
        body: "done",
        received: 2,
    },
    { name: "resends a misdirected request to another upstream", scripts: [answerMisdirected, answer], status: 200, body: "done", received: 2 },
    {
        name: "answers 503 with Retry-After if all upstreams refused without running the request",
        scripts: [refuse, refuse],
        status: 503,
        received: 2,
        check: ({ result: { headers } }) => assert.ok(Number(headers["retry-after"]) > 0),
    },
    { name: "never relays an answer to another request", scripts: [answerWithOtherId], status: 502, received: 1 },
    { name: "never presents a truncated answer as complete", scripts: [truncateAnswer], status: 502, received: 1 },
    { name: "treats bytes that are not an HTTP response as a lost attempt", scripts: [sendInvalidBytes], status: 502, received: 1 },
    { name: "does not accept a success without a signature", scripts: [answerUnsigned], status: 502, received: 1 },
    { name: "relays an answer without a length that ends with its connection", scripts: [answerUntilClose], status: 200, body: "no length", received: 1 },
    { name: "treats an answer without a length as incomplete if its connection is reset", scripts: [resetUnframedAnswer], status: 502, received: 1 },
    { name: "treats an answer without a length as incomplete if the reset arrives together with its data", scripts: [resetWithData], status: 502, received: 1 },
    {
        name: "resends an idempotent request after an upstream ran it and failed",
        kind: RouteKind.Idempotent,
        scripts: [answerWithError, answer],
        maxAttempts: 2,
        status: 200,
        received: 2,
    },
    {
        name: "relays the last failure with its signature",
        kind: RouteKind.Idempotent,
        scripts: [answerWithError, answerWithError],
        maxAttempts: 2,
        status: 500,
        body: "sorry",
        received: 2,
    },
    {
        name: "sends a final answer at the route's timeout",
        scripts: [neverAnswer],
        timeoutMs: 200,
        status: 504,
        received: 1,
        check: ({ result: { afterMs } }) => assert.ok(afterMs < 700),
    },
    {
        name: "forwards the caller's deadline, shortened",
        scripts: [answer],
        call: { headers: { "deadline-ms": "900" } },
        status: 200,
        received: 1,
        check: ({ upstreams: [first] }) => {
            const deadlineMs = Number(/^deadline-ms: (\d+)$/im.exec(first!.received[0]!.head)![1]);
            assert.ok(deadlineMs > 700 && deadlineMs < 900, String(deadlineMs));
        },
    },
    {
        name: "does not resend a request after its deadline",
        kind: RouteKind.Idempotent,
        maxAttempts: 2,
        scripts: [neverAnswer, answer],
        timeoutMs: 200,
        status: 504,
        received: 1,
    },
    { name: "relays an answer of a given length whose connection is reset after it", scripts: [answerThenReset], status: 200, body: "done", received: 1 },
    { name: "refuses an unknown path", scripts: [answer], call: { path: "/other/x" }, status: 404, received: 0 },
    { name: "refuses an unknown host", scripts: [answer], call: { host: "other.example" }, status: 404, received: 0 },
    { name: "refuses a body above the limit", scripts: [answer], call: { body: "x".repeat(20_000) }, status: 413, received: 0 },
    { name: "refuses headers above the limit", scripts: [answer], call: { headers: { "x-long": "y".repeat(6_000) } }, status: 431, received: 0 },
    {
        name: "drops reserved and hop-by-hop headers",
        scripts: [answer],
        call: {
            headers: {
                hold: "h",
                "pin-ms": "9",
                "kv-from": "1.2.3.4:5/6",
                "request-priority": "0",
                "expect-instance": "x",
                "expect-version": "1",
                connection: "model, x-hop",
                "x-hop": "1",
                model: "m",
            },
        },
        status: 200,
        received: 1,
        check: ({ upstreams: [first] }) => {
            const { head } = first!.received[0]!;
            assert.doesNotMatch(head, /^(hold|pin-ms|kv-from|expect-version|x-hop):/im);
            assert.match(head, /^expect-instance: up-0$/im);
            assert.match(head, /^model: m$/im);
        },
    },
    {
        name: "forwards a body byte for byte",
        scripts: [answer],
        call: { body: "a\r\nb".repeat(300) },
        status: 200,
        received: 1,
        check: ({ upstreams: [first] }) => assert.equal(first!.received[0]!.body, "a\r\nb".repeat(300)),
    },
    {
        name: "forwards the query unchanged",
        kind: RouteKind.Idempotent,
        scripts: [answer],
        call: { method: "GET", path: "/desk/x?a=%2F&b=//" },
        status: 200,
        received: 1,
        check: ({ upstreams: [first] }) => assert.match(first!.received[0]!.head, /^GET \/desk\/x\?a=%2F&b=\/\/ HTTP/),
    },
];

describe("forwarding", () => {
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));
    cases.forEach(testForwarding);
});

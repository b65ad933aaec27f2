import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { RouteKind } from "../src/types/servingConfig";
import { setupLogs } from "../src/utils/events";
import type { CallerRequest, CallerResult } from "./fakes/gatewayHarness";
import { callGateway, startGateway } from "./fakes/gatewayHarness";
import type { Script, ScriptedUpstream } from "./fakes/scriptedUpstream";
import { startScriptedUpstream } from "./fakes/scriptedUpstream";
import {
    answer,
    answerMisdirected,
    answerUnsigned,
    answerUntilClose,
    answerWithError,
    answerWithOtherId,
    brokenStream,
    completeStream,
    neverAnswer,
    refuse,
    reset,
    resetUnframedAnswer,
    resetWithData,
    resumedStream,
    sendInvalidBytes,
    sseEvents,
    truncateAnswer,
} from "./fakes/upstreamScripts";

before(() => setupLogs("silent"));

interface Case {
    readonly name: string;
    readonly kind?: RouteKind;
    readonly isResumable?: boolean;
    readonly maxAttempts?: number;
    readonly timeoutMs?: number;
    /** One script for each upstream; the request meets the first upstream first. */
    readonly scripts: readonly Script[];
    readonly call?: CallerRequest;
    readonly status: number | undefined;
    readonly body?: string;
    readonly isWhole?: boolean;
    /** Requests that reached upstreams in all. */
    readonly received: number;
    readonly check?: (seen: { readonly result: CallerResult; readonly upstreams: readonly ScriptedUpstream[]; }) => void;
}

const cases: readonly Case[] = [
    {
        name: "a whole answer passes unchanged",
        scripts: [answer],
        status: 200,
        body: "done",
        received: 1,
        check: ({ result: { headers } }) => assert.equal(headers["server-seal"], "seal-id-1"),
    },
    { name: "an upstream's own failure passes with its seal", scripts: [answerWithError], status: 500, body: "sorry", received: 1 },
    { name: "what may run once is not sent again after a reset", scripts: [reset, answer], maxAttempts: 2, status: 502, received: 1 },
    {
        name: "what may be repeated is sent again after a reset",
        kind: RouteKind.Idempotent,
        scripts: [reset, answer],
        maxAttempts: 2,
        status: 200,
        body: "done",
        received: 2,
    },
    { name: "attempts bound the runs", kind: RouteKind.Idempotent, scripts: [reset, reset, answer], maxAttempts: 2, status: 502, received: 2 },
    { name: "a proved refusal is sent elsewhere, also what may run once", scripts: [refuse, answer], status: 200, body: "done", received: 2 },
    { name: "a misdirected request is sent elsewhere", scripts: [answerMisdirected, answer], status: 200, body: "done", received: 2 },
    {
        name: "refusals of all upstreams promise that nothing ran",
        scripts: [refuse, refuse],
        status: 503,
        received: 2,
        check: ({ result: { headers } }) => assert.ok(Number(headers["retry-after"]) > 0),
    },
    { name: "an answer to another request is never passed on", scripts: [answerWithOtherId], status: 502, received: 1 },
    { name: "a short answer never looks whole", scripts: [truncateAnswer], status: 502, received: 1 },
    { name: "bytes that are no answer are a lost attempt", scripts: [sendInvalidBytes], status: 502, received: 1 },
    { name: "a success without a seal is no success", scripts: [answerUnsigned], status: 502, received: 1 },
    { name: "an answer without a length ends with its connection", scripts: [answerUntilClose], status: 200, body: "no length", received: 1 },
    { name: "an answer without a length that is reset is not whole", scripts: [resetUnframedAnswer], status: 502, received: 1 },
    { name: "an answer without a length that is reset together with its data is not whole", scripts: [resetWithData], status: 502, received: 1 },
    {
        name: "a failure that was run may be repeated where the kind allows",
        kind: RouteKind.Idempotent,
        scripts: [answerWithError, answer],
        maxAttempts: 2,
        status: 200,
        received: 2,
    },
    {
        name: "the last failure is passed on with its seal",
        kind: RouteKind.Idempotent,
        scripts: [answerWithError, answerWithError],
        maxAttempts: 2,
        status: 500,
        body: "sorry",
        received: 2,
    },
    {
        name: "the route's timeout ends a request with a final answer",
        scripts: [neverAnswer],
        timeoutMs: 200,
        status: 504,
        received: 1,
        check: ({ result: { afterMs } }) => assert.ok(afterMs < 700),
    },
    {
        name: "the caller's deadline is passed on, shortened",
        scripts: [answer],
        call: { headers: { "deadline-ms": "900" } },
        status: 200,
        received: 1,
        check: ({ upstreams: [first] }) => {
            const told = Number(/^deadline-ms: (\d+)$/im.exec(first!.received[0]!.head)![1]);
            assert.ok(told > 700 && told < 900, String(told));
        },
    },
    {
        name: "a request is not sent again when its time is up",
        kind: RouteKind.Idempotent,
        maxAttempts: 2,
        scripts: [neverAnswer, answer],
        timeoutMs: 200,
        status: 504,
        received: 1,
    },
    { name: "a stream passes event by event", kind: RouteKind.Streaming, scripts: [completeStream], status: 200, body: sseEvents(1, 4), received: 1 },
    {
        name: "a stream that may be resumed goes on after its last whole event",
        kind: RouteKind.Streaming,
        isResumable: true,
        maxAttempts: 2,
        scripts: [brokenStream, resumedStream],
        status: 200,
        body: sseEvents(1, 4),
        received: 2,
        check: ({ upstreams }) => assert.match(upstreams[1]!.received[0]!.head, /^last-event-id: 2$/im),
    },
    {
        name: "a stream that may not be resumed is cut, not completed",
        kind: RouteKind.Streaming,
        scripts: [brokenStream, resumedStream],
        status: 200,
        isWhole: false,
        received: 1,
    },
    { name: "an unknown path has no route", scripts: [answer], call: { path: "/other/x" }, status: 404, received: 0 },
    { name: "an unknown host has no route", scripts: [answer], call: { host: "other.example" }, status: 404, received: 0 },
    { name: "a body above the limit is refused", scripts: [answer], call: { body: "x".repeat(20_000) }, status: 413, received: 0 },
    { name: "headers above the limit are refused", scripts: [answer], call: { headers: { "x-long": "y".repeat(6_000) } }, status: 431, received: 0 },
    {
        name: "headers that only the system sets are dropped, and those of the connection",
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
        name: "a body of any length passes byte for byte",
        scripts: [answer],
        call: { body: "a\r\nb".repeat(300) },
        status: 200,
        received: 1,
        check: ({ upstreams: [first] }) => assert.equal(first!.received[0]!.body, "a\r\nb".repeat(300)),
    },
    {
        name: "the query passes unchanged",
        kind: RouteKind.Idempotent,
        scripts: [answer],
        call: { method: "GET", path: "/desk/x?a=%2F&b=//" },
        status: 200,
        received: 1,
        check: ({ upstreams: [first] }) => assert.match(first!.received[0]!.head, /^GET \/desk\/x\?a=%2F&b=\/\/ HTTP/),
    },
];

describe("forwarding", () => {
    for (const { name, scripts, call, status, body, isWhole = status !== undefined, received, check, ...route } of cases) {
        it(name, async () => {
            const upstreams = await Promise.all(scripts.map(script => startScriptedUpstream(script)));
            const node = await startGateway(upstreams.map(({ address }) => address), route);
            // The first upstream is preferred: the others look slower.
            [...scripts.keys()].forEach(index => node.gateway.trafficOf(`up-${index}`).onFirstByte(20 + 20 * index));
            const result = await callGateway(node.address, call);
            node.close();
            upstreams.forEach(upstream => upstream.close());
            assert.equal(result.status, status);
            assert.equal(result.isComplete, isWhole);
            if (body !== undefined) {
                assert.equal(result.body, body);
            }
            assert.equal(upstreams.reduce((sum, upstream) => sum + upstream.received.length, 0), received);
            check?.({ result, upstreams });
        });
    }
});

after(() => setupLogs("info"));

import assert from "node:assert/strict";
import { after, before, describe } from "node:test";
import { RouteKind } from "../src/types/servingConfig";
import { setupLogs } from "../src/utils/events";
import type { ForwardingCase } from "./fakes/forwardingCase";
import { testForwarding } from "./fakes/forwardingCase";
import {
    brokenStream,
    completeStream,
    completeStreamThenReset,
    completeStreamUntilClose,
    resumedStream,
    resumedStreamUntilClose,
    sseEvents,
    streamClosedBeforeFirstEvent,
    streamClosedInsideEvent,
} from "./fakes/upstreamScripts";

const cases: readonly ForwardingCase[] = [
    { name: "relays a stream event by event", kind: RouteKind.Streaming, scripts: [completeStream], status: 200, body: sseEvents(1, 4), received: 1 },
    {
        name: "completes a stream whose connection is reset together with its end",
        kind: RouteKind.Streaming,
        scripts: [completeStreamThenReset],
        status: 200,
        body: sseEvents(1, 4),
        received: 1,
    },
    {
        name: "resumes a resumable stream after its last complete event",
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
        name: "aborts a broken stream that cannot be resumed instead of completing it",
        kind: RouteKind.Streaming,
        scripts: [brokenStream, resumedStream],
        status: 200,
        isComplete: false,
        received: 1,
    },
    {
        name: "relays a stream that ends with its connection",
        kind: RouteKind.Streaming,
        scripts: [completeStreamUntilClose],
        status: 200,
        body: sseEvents(1, 4),
        received: 1,
    },
    {
        name: "resumes a stream whose connection was closed inside an event",
        kind: RouteKind.Streaming,
        isResumable: true,
        maxAttempts: 2,
        scripts: [streamClosedInsideEvent, resumedStreamUntilClose],
        status: 200,
        body: sseEvents(1, 4),
        received: 2,
    },
    {
        name: "does not complete a stream whose connection was closed inside an event",
        kind: RouteKind.Streaming,
        scripts: [streamClosedInsideEvent],
        status: 200,
        isComplete: false,
        received: 1,
    },
    {
        name: "does not complete a stream whose connection was closed before its first event",
        kind: RouteKind.Streaming,
        scripts: [streamClosedBeforeFirstEvent],
        status: 200,
        isComplete: false,
        received: 1,
    },
];

describe("streams", () => {
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));
    cases.forEach(testForwarding);
});

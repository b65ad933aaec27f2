import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import type { Gateway } from "../src/forward/gateway";
import { EventId } from "../src/types/eventId";
import { RequestStep } from "../src/types/requestStep";
import type { ServiceRoute } from "../src/types/servingConfig";
import { RouteKind } from "../src/types/servingConfig";
import { observeEvents, setupLogs } from "../src/utils/events";
import { sleep } from "../src/utils/time";
import type { CallerRequest } from "./fakes/gatewayHarness";
import { callGateway, startGateway } from "./fakes/gatewayHarness";
import type { Script } from "./fakes/scriptedUpstream";
import { chunkOf, startScriptedUpstream, streamHeadOf } from "./fakes/scriptedUpstream";
import { answer, completeStream, neverAnswer, reset } from "./fakes/upstreamScripts";

const fail = (): never => {
    throw new Error("injected");
};

/** Replaces a method of an object by one that fails in the calls from `first` to `last`, counted from 1. */
const breakMethod = <T extends object>(target: T, name: keyof T & string, first = 1, last = Number.POSITIVE_INFINITY): void => {
    const original = (target[name] as (...args: unknown[]) => unknown).bind(target);
    let calls = 0;
    Object.assign(target, { [name]: (...args: unknown[]): unknown => ++calls < first || calls > last ? original(...args) : fail() });
};

/** As `breakMethod`, for a codec whose methods other tests use as well. */
const breakWire = (gateway: Gateway, name: "decodeCaller" | "encodeAttempt" | "decodeAnswer", last?: number): void => {
    const wire = { ...gateway.wire };
    Object.assign(gateway, { wire });
    breakMethod(wire, name, 1, last);
};

interface ErrorCase {
    readonly name: string;
    readonly inject: (gateway: Gateway) => void;
    readonly scripts?: readonly Script[];
    readonly route?: Partial<ServiceRoute>;
    readonly call?: CallerRequest;
    readonly status: number | undefined;
    readonly isComplete?: boolean;
    readonly verdict?: string;
    /** Step at which the request failed, or else an attempt. */
    readonly step?: RequestStep;
    readonly attemptStep?: RequestStep;
    readonly received: number;
}

const streaming: Partial<ServiceRoute> = { kind: RouteKind.Streaming };
const idempotent: Partial<ServiceRoute> = { kind: RouteKind.Idempotent, maxAttempts: 2 };
const withModel: CallerRequest = { headers: { model: "m", "token-count": "10,10" } };

const cases: readonly ErrorCase[] = [
    { name: "decoding headers", inject: gateway => breakWire(gateway, "decodeCaller"), status: 503, step: RequestStep.Read, received: 0 },
    { name: "finding the route", inject: ({ routes }) => breakMethod(routes!, "find"), status: 503, step: RequestStep.Read, received: 0 },
    { name: "counting the request", inject: gateway => breakMethod(gateway, "budgetOf"), status: 503, step: RequestStep.Read, received: 0 },
    {
        name: "finding the version of a stream",
        inject: ({ streamVersions }) => breakMethod(streamVersions, "originOf"),
        route: { ...streaming, isResumable: true },
        call: { headers: { "last-event-id": "2" } },
        status: 503,
        step: RequestStep.Pin,
        received: 0,
    },
    { name: "choosing an upstream", inject: gateway => breakMethod(gateway, "trafficOf"), status: 503, step: RequestStep.Choose, received: 0 },
    {
        name: "waiting for capacity",
        inject: ({ queue }) => breakMethod(queue, "countAhead"),
        call: withModel,
        status: 503,
        step: RequestStep.Choose,
        received: 0,
    },
    {
        name: "waiting for a turn",
        inject: gateway => {
            gateway.runnerLimits.onAnswer("up-0@1", 5, 0);
            gateway.placement = { ...gateway.placement, acquirePermit: fail };
        },
        scripts: [answer],
        status: 503,
        step: RequestStep.Turn,
        received: 0,
    },
    {
        name: "opening a pool, once",
        inject: gateway => breakMethod(gateway, "connectionPoolOf", 1, 1),
        status: 200,
        attemptStep: RequestStep.Send,
        received: 1,
    },
    { name: "opening a pool, always", inject: gateway => breakMethod(gateway, "connectionPoolOf"), status: 503, attemptStep: RequestStep.Send, received: 0 },
    {
        name: "creating a client",
        inject: gateway => breakMethod(gateway.connectionPoolOf("up-0", ""), "acquire"),
        status: 200,
        attemptStep: RequestStep.Send,
        received: 1,
    },
    {
        name: "the client's address",
        inject: gateway => void gateway.connectionPoolOf("up-0", "127.0.0.1:65536"),
        status: 200,
        attemptStep: RequestStep.Send,
        received: 1,
    },
    { name: "encoding headers, once", inject: gateway => breakWire(gateway, "encodeAttempt", 1), status: 200, attemptStep: RequestStep.Send, received: 1 },
    { name: "decoding a head", inject: gateway => breakWire(gateway, "decodeAnswer"), status: 502, attemptStep: RequestStep.Head, received: 1 },
    {
        name: "decoding a head that may be asked for again",
        inject: gateway => breakWire(gateway, "decodeAnswer", 1),
        route: idempotent,
        status: 200,
        attemptStep: RequestStep.Head,
        received: 2,
    },
    { name: "recording a head", inject: ({ runnerLimits }) => breakMethod(runnerLimits, "onAnswer"), status: 502, attemptStep: RequestStep.Head, received: 1 },
    {
        name: "holding data",
        inject: ({ answerMemory }) => {
            const open = answerMemory.open.bind(answerMemory);
            Object.assign(answerMemory, { open: () => Object.assign(open(), { grow: fail }) });
        },
        status: 502,
        attemptStep: RequestStep.Data,
        received: 1,
    },
    {
        name: "recording an event gap of a stream",
        inject: gateway => breakMethod(gateway.trafficOf("up-0"), "onEventGap"),
        scripts: [(socket, { id }) => {
            socket.write(streamHeadOf(id) + chunkOf("id: 1\ndata: a\n\n"));
            setTimeout(() => socket.write(chunkOf("id: 2\ndata: b\n\n")), 20);
        }],
        route: streaming,
        status: 200,
        isComplete: false,
        attemptStep: RequestStep.Data,
        received: 1,
    },
    {
        name: "releasing a connection",
        inject: gateway => breakMethod(gateway.connectionPoolOf("up-0", gateway.directory.get("up-0")!.address), "release"),
        status: 502,
        attemptStep: RequestStep.End,
        received: 1,
    },
    {
        name: "recording a success",
        inject: gateway => breakMethod(gateway.trafficOf("up-0"), "onSuccess"),
        status: 502,
        verdict: "may-have-run",
        step: RequestStep.Classify,
        received: 1,
    },
    {
        name: "recording the success of a stream",
        inject: gateway => breakMethod(gateway.trafficOf("up-0"), "onSuccess"),
        scripts: [completeStream],
        route: streaming,
        status: 200,
        isComplete: false,
        step: RequestStep.Classify,
        received: 1,
    },
    {
        name: "recording a refusal",
        inject: gateway => breakMethod(gateway.trafficOf("up-0"), "onFailure"),
        scripts: [reset],
        status: 502,
        verdict: "may-have-run",
        step: RequestStep.Classify,
        received: 1,
    },
    {
        name: "watching for silence",
        inject: gateway => breakMethod(gateway, "budgetOf", 2),
        scripts: [neverAnswer, answer],
        route: { ...idempotent, timeoutMs: 1_200 },
        status: 504,
        attemptStep: RequestStep.Choose,
        received: 1,
    },
    {
        name: "an observer of events",
        inject: () => undefined,
        status: 200,
        received: 1,
    },
];

/** Guards against requests that end without an answer, or are counted for good, after an error that no step expects. */
describe("an internal error", () => {
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));

    /** Connections to upstreams that carry a request. */
    const usedConnectionsOf = (gateway: Gateway): number => {
        const { poolByUpstream } = gateway as unknown as { readonly poolByUpstream: ReadonlyMap<string, { readonly inUse: ReadonlySet<unknown>; }>; };
        return [...poolByUpstream.values()].reduce((sum, { inUse }) => sum + inUse.size, 0);
    };
    const queuedAt = ({ queue }: Gateway): number => (queue as unknown as { readonly byModel: ReadonlyMap<string, unknown>; }).byModel.size;

    for (const { name, inject, scripts = [answer, answer], route, call, status, isComplete = true, verdict, step, attemptStep, received } of cases) {
        it(`at ${name} leaves its caller with ${status}${isComplete ? "" : ", cut"} and no counts`, async () => {
            const upstreams = await Promise.all(scripts.map(script => startScriptedUpstream(script)));
            const node = await startGateway(upstreams.map(({ address }) => address), route);
            const { gateway } = node;
            const traffics = [...scripts.keys()].map(index => gateway.trafficOf(`up-${index}`));
            // The first upstream is preferred because the others have higher latencies.
            traffics.forEach((traffic, index) => traffic.onFirstByte(20 + 20 * index));
            const events: { readonly event: EventId; readonly fields: Readonly<Record<string, unknown>>; }[] = [];
            const stopObserving = observeEvents((event, fields) => events.push({ event, fields }));
            const stopFailing = name === "an observer of events" ? observeEvents(fail) : () => undefined;
            inject(gateway);
            const result = await callGateway(node.address, call);
            await sleep(30);
            stopFailing();
            stopObserving();
            node.close();
            upstreams.forEach(upstream => upstream.close());
            assert.deepEqual([result.status, result.isComplete], [status, isComplete], JSON.stringify(events));
            assert.equal(upstreams.reduce((sum, upstream) => sum + upstream.received.length, 0), received);
            const find = (id: EventId) => events.find(({ event }) => event === id)?.fields;
            assert.equal(find(EventId.RequestFailed)?.step, step);
            assert.equal(find(EventId.AttemptStepFailed)?.step, attemptStep);
            if (status !== undefined && status >= 500) {
                assert.equal(result.headers["content-type"], "application/problem+json");
                assert.equal(result.headers["server-seal"], undefined);
                const expected = verdict ?? (status === 503 ? "not-run" : "may-have-run");
                assert.equal(find(EventId.RequestRefused)?.verdict, expected);
                assert.equal(result.headers["retry-after"] !== undefined, expected === "not-run");
            }
            assert.deepEqual(traffics.map(({ inFlight, pendingPrefillMs }) => [inFlight, pendingPrefillMs]), traffics.map(() => [0, 0]));
            // An error of this node says nothing of an upstream.
            assert.deepEqual(traffics.map(({ isUnreachable }) => isUnreachable), traffics.map(() => false));
            assert.deepEqual([gateway.inProgress, queuedAt(gateway), gateway.answerMemory.used, usedConnectionsOf(gateway)], [0, 0, 0, 0]);
        });
    }
});

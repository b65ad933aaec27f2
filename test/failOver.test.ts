import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import type { SilentAttempt } from "../src/core/failOver";
import { decideOnSilence, SilenceAction } from "../src/core/failOver";
import { UpstreamProber } from "../src/forward/upstreamProber";
import type { RunnerControl } from "../src/types/runner";
import { RouteKind } from "../src/types/servingConfig";
import { setupLogs } from "../src/utils/events";
import { callGateway, startGateway } from "./fakes/gatewayHarness";
import type { Script } from "./fakes/scriptedUpstream";
import { answerOf, chunkOf, lastChunk, startScriptedUpstream, streamHeadOf } from "./fakes/scriptedUpstream";
import { answer, sseEvents } from "./fakes/upstreamScripts";

describe("decision on a silent attempt", () => {
    const base: SilentAttempt = { silentMs: 2_000, maxSilenceMs: 1_500, allowedMs: 6_000, isAlive: undefined };
    const patient = { firstEventMs: 2_000 };
    const cases: readonly { readonly name: string; readonly attempt: Partial<SilentAttempt>; readonly action: SilenceAction; }[] = [
        { name: "waits below the limit", attempt: { silentMs: 1_400, isAlive: false }, action: SilenceAction.Wait },
        { name: "probes an upstream that is silent for longer", attempt: {}, action: SilenceAction.Probe },
        { name: "fails over from an upstream that does not respond", attempt: { isAlive: false }, action: SilenceAction.FailOver },
        { name: "waits for an upstream that is alive", attempt: { isAlive: true }, action: SilenceAction.Wait },
        { name: "gives up an upstream that is alive after half of the time", attempt: { isAlive: true, silentMs: 3_100 }, action: SilenceAction.FailOver },
        { name: "waits for a first event below 0.4 of the caller's patience", attempt: { ...patient, silentMs: 750 }, action: SilenceAction.Wait },
        {
            name: "probes an upstream without a first event after 0.4 of the caller's patience",
            attempt: { ...patient, silentMs: 850 },
            action: SilenceAction.Probe,
        },
        {
            name: "leaves an upstream that is alive time for the first event",
            attempt: { ...patient, silentMs: 1_150, isAlive: true },
            action: SilenceAction.Wait,
        },
        {
            name: "gives up an upstream that is alive after 0.6 of the caller's patience, as it may have lost the response",
            attempt: { ...patient, silentMs: 1_250, isAlive: true },
            action: SilenceAction.FailOver,
        },
        {
            name: "does not give a first event up before its predicted time",
            attempt: { ...patient, silentMs: 1_250, typicalMs: 1_400, isAlive: true },
            action: SilenceAction.Wait,
        },
        { name: "is not later than without a patience limit", attempt: { firstEventMs: 60_000, isAlive: false }, action: SilenceAction.FailOver },
    ];
    for (const { name, attempt, action } of cases) {
        it(name, () => assert.equal(decideOnSilence({ ...base, ...attempt }), action));
    }
});

describe("a silent attempt of a request that may run again", () => {
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));
    const answerAfter = (ms: number): Script => (socket, { id }) => void setTimeout(() => socket.write(answerOf(id, "late")), ms);
    const streamAfter = (ms: number): Script => (socket, { id }) =>
        void setTimeout(() => socket.write(streamHeadOf(id) + chunkOf(sseEvents(1, 3)) + lastChunk), ms);
    const stream: Script = (socket, { id }) => void socket.write(streamHeadOf(id) + chunkOf(sseEvents(1, 3)) + lastChunk);

    interface Case {
        readonly name: string;
        readonly kind: RouteKind;
        readonly scripts: readonly Script[];
        /** Whether the runners answer probes; undefined if there is no prober. */
        readonly isAlive?: boolean;
        readonly body: string;
        readonly received: readonly number[];
    }
    const cases: readonly Case[] = [
        { name: "is not given up if there is no other upstream", kind: RouteKind.Idempotent, scripts: [answerAfter(1_000)], body: "late", received: [1] },
        {
            name: "moves to another upstream if there is one",
            kind: RouteKind.Idempotent,
            scripts: [answerAfter(1_500), answer],
            body: "done",
            received: [1, 1],
        },
        {
            name: "stays at a runner that is alive but busy",
            kind: RouteKind.Streaming,
            scripts: [streamAfter(1_900), stream],
            isAlive: true,
            body: sseEvents(1, 3),
            received: [1, 0],
        },
        {
            name: "moves from a runner that does not respond",
            kind: RouteKind.Streaming,
            scripts: [streamAfter(2_600), stream],
            isAlive: false,
            body: sseEvents(1, 3),
            received: [1, 1],
        },
    ];
    for (const { name, kind, scripts, isAlive, body, received } of cases) {
        it(name, async () => {
            const upstreams = await Promise.all(scripts.map(startScriptedUpstream));
            const node = await startGateway(upstreams.map(({ address }) => address), { kind, isResumable: true, maxAttempts: 2, timeoutMs: 4_000 });
            if (isAlive !== undefined) {
                const fetchReport = (): Promise<never> => isAlive ? Promise.resolve({} as never) : Promise.reject(new Error("no answer"));
                node.gateway.prober = UpstreamProber.create({ fetchReport } as unknown as RunnerControl);
            }
            // The first upstream is preferred until it has failed.
            node.gateway.trafficOf("up-0").onFirstByte(1);
            const headers = { "deadline-ms": "4000", ...(kind === RouteKind.Streaming ? { "model": "m", "token-count": "100,10" } : {}) };
            const result = await callGateway(node.address, { headers });
            node.close();
            upstreams.forEach(upstream => upstream.close());
            assert.equal(result.status, 200);
            assert.equal(result.body, body);
            assert.deepEqual(upstreams.map(upstream => upstream.received.length), received);
        });
    }
});

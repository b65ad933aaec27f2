import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Gateway } from "../src/forward/gateway";
import { RouteKind } from "../src/types/servingConfig";
import { processKey } from "../src/types/upstreamServer";
import { sleep } from "../src/utils/time";
import type { CallerRequest } from "./fakes/gatewayHarness";
import { callGateway, startGateway } from "./fakes/gatewayHarness";
import type { Script } from "./fakes/scriptedUpstream";
import { answerOf, startScriptedUpstream } from "./fakes/scriptedUpstream";

const exitAfterMs = 300;
const allowedMs = 250;
const limitPerS = 1;

const never = <T>(): Promise<T> => new Promise(() => undefined);

const answerAll: Script = (socket, { id }) => socket.write(answerOf(id, "done"));

interface Case {
    readonly name: string;
    readonly route?: { readonly kind: RouteKind; readonly isResumable?: boolean; readonly maxAttempts?: number; };
    /** Makes a wait last. */
    readonly prepare?: (gateway: Gateway) => void;
    readonly script?: Script;
    readonly call?: CallerRequest;
    readonly status: number;
    readonly sends: number;
}

const resumable = { kind: RouteKind.Streaming, isResumable: true };

/** Limits the upstream; each request asks for a turn. */
const limit = (gateway: Gateway, acquirePermit: Gateway["placement"]["acquirePermit"]): void => {
    gateway.directory.all().forEach(server => gateway.runnerLimits.onAnswer(processKey(server), limitPerS, performance.now()));
    gateway.placement = { ...gateway.placement, isController: false, acquirePermit };
};

const cases: readonly Case[] = [
    { name: "a turn that is not answered", prepare: gateway => limit(gateway, never), status: 503, sends: 0 },
    { name: "a turn that comes later", prepare: gateway => limit(gateway, () => Promise.resolve({ isGranted: true, waitMs: 1_500 })), status: 503, sends: 0 },
    { name: "the record of a stream", route: resumable, prepare: ({ streamVersions }) => streamVersions.mayBegin = never, status: 503, sends: 0 },
    {
        name: "the origin of a stream that is taken up",
        route: resumable,
        prepare: ({ streamVersions }) => streamVersions.originOf = never,
        call: { headers: { "last-event-id": "3", "resumes": "first" } },
        status: 503,
        sends: 0,
    },
    {
        name: "a model's placement",
        prepare: gateway => gateway.placement = { ...gateway.placement, isController: false, place: never },
        call: { headers: { "model": "other", "token-count": "10,10" } },
        status: 503,
        sends: 0,
    },
    { name: "an upstream that does not answer", script: () => undefined, status: 502, sends: 1 },
    {
        name: "another attempt that would not be answered",
        route: { kind: RouteKind.Idempotent, maxAttempts: 2 },
        script: socket => setTimeout(() => socket.destroy(), 100),
        status: 502,
        sends: 1,
    },
];

/** Guards against requests that are cut when a stopping process exits because they wait for something that does not look at the exit. */
describe("a node that is about to exit", () => {
    for (const { name, route = { kind: RouteKind.NonIdempotent }, prepare, script = answerAll, call = {}, status, sends } of cases) {
        it(`answers a request that waits for ${name}`, async () => {
            const upstreams = [await startScriptedUpstream(script), await startScriptedUpstream(script)];
            const { gateway, address, close } = await startGateway(upstreams.map(upstream => upstream.address), { timeoutMs: 4_000, ...route });
            prepare?.(gateway);
            try {
                const answer = callGateway(address, call);
                await sleep(30);
                gateway.stopRequestedAt = performance.now();
                gateway.exitDeadlineAt = performance.now() + exitAfterMs;
                await sleep(exitAfterMs);
                gateway.waitsEnd.give();
                gateway.attemptsEnd.give();
                const result = await Promise.race([answer, sleep(allowedMs)]);
                assert.equal(result?.status, status);
                assert.ok(status !== 503 || result?.body.includes("problem:stopping"), result?.body);
                assert.equal(upstreams.reduce((sum, { received }) => sum + received.length, 0), sends, "sends");
            }
            finally {
                close();
                upstreams.forEach(upstream => upstream.close());
            }
        });
    }
});

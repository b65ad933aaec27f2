import { install } from "@sinonjs/fake-timers";
import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import type { Call } from "../src/forward/call";
import { canFinishBeforeExit } from "../src/forward/canFinishBeforeExit";
import { Gateway } from "../src/forward/gateway";
import { requestHeaderCodec } from "../src/platform/requestHeaderCodec";
import { UpstreamState } from "../src/types/upstreamServer";
import { createRandom } from "../src/utils/random";
import { platformTestSettings } from "./fakes/gatewayHarness";

/** The process exits this long after the request to stop. */
const exitAfterMs = 7_400;

/** Guards against requests that a stopping node takes, sends on and cuts off when it exits. */
describe("a stopping node", () => {
    let clock: ReturnType<typeof install>;
    beforeEach(() => clock = install({ toFake: ["performance"] }));
    afterEach(() => clock.uninstall());

    interface Case {
        readonly name: string;
        /** Arrival after the request to stop. */
        readonly atMs: number;
        /** Time until the request's final answer is due. */
        readonly timeoutMs: number;
        /** What upstreams of the service were seen to take. */
        readonly seenMs?: readonly number[];
        readonly maxOutputTokens?: number;
        readonly isAccepted: boolean;
    }
    const cases: readonly Case[] = [
        { name: "accepts a plain request soon after the stop", atMs: 100, timeoutMs: 60_000, isAccepted: true },
        { name: "accepts one that its upstreams answer in time", atMs: 2_500, timeoutMs: 60_000, seenMs: [200, 2_500], isAccepted: true },
        { name: "refuses one that its upstreams were seen to take too long for", atMs: 2_500, timeoutMs: 60_000, seenMs: [200, 5_200], isAccepted: false },
        { name: "refuses one that may not be answered before the exit, later", atMs: 3_300, timeoutMs: 60_000, seenMs: [200], isAccepted: false },
        { name: "refuses one that ends after the exit, later", atMs: 5_100, timeoutMs: 4_000, seenMs: [200], isAccepted: false },
        { name: "accepts one whose final answer is due before the exit", atMs: 5_100, timeoutMs: 2_000, seenMs: [5_200], isAccepted: true },
        { name: "accepts a generation soon after the stop", atMs: 100, timeoutMs: 15_000, maxOutputTokens: 292, isAccepted: true },
        { name: "refuses a generation that would take too long", atMs: 2_800, timeoutMs: 15_000, maxOutputTokens: 4_000, isAccepted: false },
        { name: "refuses a generation later", atMs: 3_000, timeoutMs: 15_000, maxOutputTokens: 10, isAccepted: false },
    ];
    for (const { name, atMs, timeoutMs, seenMs = [], maxOutputTokens, isAccepted } of cases) {
        it(`${name} (${atMs} ms after it)`, () => {
            const gateway = Gateway.create(platformTestSettings, requestHeaderCodec, createRandom(1));
            seenMs.forEach((ms, index) => {
                const id = `u${index}`;
                const server = {
                    id,
                    service: "desk",
                    address: "127.0.0.1:1",
                    availabilityZone: "a",
                    slots: 8,
                    state: UpstreamState.Ready,
                    models: [],
                    inMemory: [],
                    onDisk: [],
                    bornAt: 1,
                    acceptedOrders: 0,
                };
                gateway.directory.apply({ id, version: index + 1, server });
                gateway.trafficOf(id).onFirstByte(ms);
            });
            gateway.stopRequestedAt = performance.now();
            gateway.exitDeadlineAt = gateway.stopRequestedAt + exitAfterMs;
            clock.tick(atMs);
            const modelRequest = maxOutputTokens === undefined ? undefined : { model: "m", maxOutputTokens, promptTokens: 10, parts: [] };
            // Only these parts of a call are read.
            const call = { service: "desk", deadlineAt: performance.now() + timeoutMs, caller: { modelRequest } } as unknown as Call;
            assert.equal(canFinishBeforeExit(gateway, call), isAccepted);
        });
    }
});

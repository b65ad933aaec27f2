import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { UpstreamProber } from "../src/forward/upstreamProber";
import type { PlacementAnswer } from "../src/types/placement";
import type { RunnerControl } from "../src/types/runner";
import type { ServiceRoute } from "../src/types/servingConfig";
import { RouteKind } from "../src/types/servingConfig";
import { setupLogs } from "../src/utils/events";
import { callGateway, startGateway } from "./fakes/gatewayHarness";
import type { Script } from "./fakes/scriptedUpstream";
import { chunkOf, lastChunk, startScriptedUpstream, streamHeadOf } from "./fakes/scriptedUpstream";
import { sseEvents } from "./fakes/upstreamScripts";

const patience: Partial<ServiceRoute> = { kind: RouteKind.Streaming, patienceMs: 1_200, latencyObjectiveMs: 200, timeoutMs: 6_000, maxAttempts: 2 };
const stream: Script = (socket, { id }) => void socket.write(streamHeadOf(id) + chunkOf(sseEvents(1, 3)) + lastChunk);
const silent: Script = () => {};
const headers = { "deadline-ms": "6000", "model": "m", "token-count": "4000,10" };

describe("a stream whose caller gives up before the deadline", () => {
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));

    const queueCases: readonly {
        readonly name: string;
        readonly route: Partial<ServiceRoute>;
        readonly backlogMs: number;
        readonly status: number;
        readonly received: number;
    }[] = [
        { name: "is refused at once, and not sent, behind a backlog that lasts longer", route: patience, backlogMs: 3_000, status: 503, received: 0 },
        { name: "is sent to a runner that is free", route: patience, backlogMs: 0, status: 200, received: 1 },
        {
            name: "is sent to a runner that is free, though the first event is predicted too late",
            route: { ...patience, patienceMs: 20 },
            backlogMs: 0,
            status: 200,
            received: 1,
        },
    ];
    for (const { name, route, backlogMs, status, received } of queueCases) {
        it(name, async () => {
            const upstream = await startScriptedUpstream(stream);
            const node = await startGateway([upstream.address], route);
            node.gateway.trafficOf("up-0").pendingPrefillMs = backlogMs;
            const result = await callGateway(node.address, { headers });
            node.close();
            upstream.close();
            assert.equal(result.status, status, result.body);
            assert.equal(upstream.received.length, received);
            if (status === 503) {
                assert.ok(result.afterMs < 500, `refused after ${result.afterMs} ms`);
                assert.ok(Number(result.headers["retry-after"]) > 0, JSON.stringify(result.headers));
                assert.match(result.body, /capacity-short/);
            }
        });
    }

    const modelCases: readonly {
        readonly name: string;
        readonly answer: PlacementAnswer;
        readonly route: Partial<ServiceRoute>;
        readonly isRefusedAtOnce: boolean;
    }[] = [
        { name: "is refused at once if its model is ready too late", answer: { readyInMs: 3_000, isComing: true }, route: patience, isRefusedAtOnce: true },
        {
            name: "waits for a model on a route without a patience limit",
            answer: { readyInMs: 3_000, isComing: true },
            route: { ...patience, patienceMs: undefined, timeoutMs: 3_800 },
            isRefusedAtOnce: false,
        },
    ];
    for (const { name, answer, route, isRefusedAtOnce } of modelCases) {
        it(name, async () => {
            const upstream = await startScriptedUpstream(stream);
            const node = await startGateway([upstream.address], route);
            let placements = 0;
            node.gateway.placement = {
                ...node.gateway.placement,
                place: () => {
                    placements++;
                    return Promise.resolve(answer);
                },
            };
            const result = await callGateway(node.address, { headers: { ...headers, model: "other", "deadline-ms": "3800" } });
            node.close();
            upstream.close();
            assert.equal(result.status, 503);
            assert.equal(upstream.received.length, 0);
            assert.equal(result.afterMs < 400, isRefusedAtOnce, `refused after ${result.afterMs} ms`);
            assert.equal(/model-late/.test(result.body), isRefusedAtOnce, result.body);
            assert.ok(placements > 0, "its demand is not reported");
        });
    }

    it("moves from a runner that is alive but has lost the response, while another one can still begin in time", async () => {
        const upstreams = await Promise.all([silent, stream].map(startScriptedUpstream));
        const node = await startGateway(upstreams.map(({ address }) => address), { ...patience, isResumable: true });
        node.gateway.prober = UpstreamProber.create({ fetchReport: () => Promise.resolve({} as never) } as unknown as RunnerControl);
        // The first upstream is preferred until it has failed.
        node.gateway.trafficOf("up-0").onFirstByte(1);
        const result = await callGateway(node.address, { headers: { ...headers, "token-count": "100,10" } });
        node.close();
        upstreams.forEach(upstream => upstream.close());
        assert.equal(result.body, sseEvents(1, 3));
        assert.deepEqual(upstreams.map(({ received }) => received.length), [1, 1]);
        assert.ok(result.afterMs > 400, `given up after ${result.afterMs} ms`);
    });
});

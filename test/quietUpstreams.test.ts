import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { UpstreamProber } from "../src/forward/upstreamProber";
import type { RunnerControl } from "../src/types/runner";
import type { ServiceRoute } from "../src/types/servingConfig";
import { RouteKind } from "../src/types/servingConfig";
import { setupLogs } from "../src/utils/events";
import type { CallerResult } from "./fakes/gatewayHarness";
import { callGateway, startGateway } from "./fakes/gatewayHarness";
import type { Script } from "./fakes/scriptedUpstream";
import { answerOf, startScriptedUpstream } from "./fakes/scriptedUpstream";
import { answer } from "./fakes/upstreamScripts";

/** Asks for quiet at the first request and answers all others. */
const quietFirst = (seconds: string, headers = ""): Script => (socket, req, upstream) => {
    if (req.index > 0) {
        answer(socket, req, upstream);
        return;
    }
    socket.write(`HTTP/1.1 503 Busy\r\nAttempt-Id: ${req.id}\r\nNot-Executed: 1\r\nRetry-After: ${seconds}\r\n${headers}Content-Length: 0\r\n\r\n`);
};
const alwaysQuiet = (seconds: string): Script => socket =>
    void socket.write(`HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nRetry-After: ${seconds}\r\nContent-Length: 0\r\n\r\n`);

describe("an upstream that asks for quiet", () => {
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));

    interface Case {
        readonly name: string;
        readonly scripts: readonly Script[];
        readonly route?: Partial<ServiceRoute>;
        readonly headers?: Readonly<Record<string, string>>;
        readonly calls?: number;
        readonly statuses: readonly (number | undefined)[];
        readonly received: readonly number[];
        readonly check?: (results: readonly CallerResult[]) => void;
    }
    const cases: readonly Case[] = [
        { name: "is left alone while another one serves", scripts: [quietFirst("2"), answer], calls: 4, statuses: [200, 200, 200, 200], received: [1, 4] },
        {
            name: "gets the request again if the time ends before the objective",
            scripts: [quietFirst("0.15")],
            statuses: [200],
            received: [2],
            check: ([result]) => assert.ok(result!.afterMs >= 150 && result!.afterMs < 450, `${result!.afterMs} ms`),
        },
        {
            name: "lets a request wait whose caller would come back too early",
            scripts: [quietFirst("0.8")],
            headers: { "deadline-ms": "1500" },
            statuses: [200],
            received: [2],
            check: ([result]) => assert.ok(result!.afterMs >= 800, `${result!.afterMs} ms`),
        },
        {
            name: "has its time told at once to callers that can await it",
            scripts: [quietFirst("0.6")],
            headers: { "deadline-ms": "2000" },
            statuses: [503],
            received: [1],
            check: ([result]) => {
                const retryAfterS = Number(result!.headers["retry-after"]);
                assert.ok(result!.afterMs < 300 && retryAfterS >= 0.55 && retryAfterS < 0.9, `${result!.afterMs} ms, ${retryAfterS} s`);
            },
        },
        {
            name: "has its time told at once if it is longer than any caller waits",
            scripts: [quietFirst("30")],
            calls: 3,
            statuses: [503, 503, 503],
            received: [1],
            check: results => results.forEach(({ afterMs, headers }) => assert.ok(afterMs < 300 && Number(headers["retry-after"]) > 29)),
        },
        {
            name: "has the earliest time told if all ask for quiet",
            scripts: [alwaysQuiet("30"), alwaysQuiet("40")],
            calls: 3,
            statuses: [503, 503, 503],
            received: [1, 1],
            check: results => results.forEach(({ headers }) => assert.ok(Number(headers["retry-after"]) < 40)),
        },
        { name: "is asked again if its time is no number", scripts: [quietFirst("soon"), answer], calls: 3, statuses: [200, 200, 200], received: [3, 1] },
        {
            name: "ends it for a stream of a model, too",
            scripts: [quietFirst("0.15")],
            route: { kind: RouteKind.Streaming, latencyObjectiveMs: 1_000 },
            headers: { "model": "m", "token-count": "100,10" },
            statuses: [200],
            received: [2],
        },
    ];
    for (const { name, scripts, route, headers = {}, calls = 1, statuses, received, check } of cases) {
        it(name, async () => {
            const upstreams = await Promise.all(scripts.map(script => startScriptedUpstream(script)));
            const node = await startGateway(upstreams.map(({ address }) => address), route);
            // The first upstream is preferred, also after refusals.
            upstreams.forEach((upstream, index) => node.gateway.trafficOf(`up-${index}`).onFirstByte(upstream === upstreams[0] ? 1 : 2_000));
            const results: CallerResult[] = [];
            for (let index = 0; index < calls; index++) {
                results.push(await callGateway(node.address, { headers: { "attempt-id": `id-${index}`, ...headers } }));
            }
            node.close();
            upstreams.forEach(upstream => upstream.close());
            assert.deepEqual(results.map(({ status }) => status), statuses);
            assert.deepEqual(upstreams.map(upstream => upstream.received.length), received);
            check?.(results);
        });
    }

    it("does not count as failed, and names no change of its limit", async () => {
        const upstream = await startScriptedUpstream(quietFirst("30", "Server-Seal: s\r\n"));
        const node = await startGateway([upstream.address]);
        node.gateway.runnerLimits.onAnswer("up-0@1", 1_000, 0);
        await callGateway(node.address);
        node.close();
        upstream.close();
        const traffic = node.gateway.trafficOf("up-0");
        assert.deepEqual([traffic.recentFailures, traffic.isUnreachable, node.gateway.runnerLimits.limitOf("up-0@1")], [0, false, 1_000]);
    });

    it("costs one retry, also if the next send is withheld once", async () => {
        const upstreams = await Promise.all([quietFirst("30"), answer].map(script => startScriptedUpstream(script)));
        const node = await startGateway(upstreams.map(({ address }) => address));
        const { availability } = node.gateway;
        node.gateway.trafficOf("up-0").onFirstByte(1);
        let checks = 0;
        const mayStillSend = availability.mayStillSend.bind(availability);
        availability.mayStillSend = process => ++checks !== 2 && mayStillSend(process);
        const budget = node.gateway.budgetOf("desk");
        let retries = 0;
        const withdraw = budget.withdraw.bind(budget);
        budget.withdraw = () => {
            retries++;
            return withdraw();
        };
        const { status } = await callGateway(node.address);
        node.close();
        upstreams.forEach(upstream => upstream.close());
        assert.deepEqual([status, checks, retries, ...upstreams.map(({ received }) => received.length)], [200, 3, 1, 1, 1]);
    });

    const probeCases = [{ name: "counts as alive without a probe", isListening: true }, { name: "is found to have ended without a probe", isListening: false }];
    for (const { name, isListening } of probeCases) {
        it(name, async () => {
            const upstream = await startScriptedUpstream(answer);
            const node = await startGateway([upstream.address]);
            const server = node.gateway.directory.get("up-0")!;
            let reports = 0;
            const runners = { fetchReport: () => Promise.resolve({ bornAt: ++reports }) } as unknown as RunnerControl;
            const prober = UpstreamProber.create(runners, runner => node.gateway.availability.mayCall(runner));
            node.gateway.availability.onAnswer(server, { isLeaving: false, quietMs: 1_000, isMisdirected: false, ignoredHeaders: [] });
            if (!isListening) {
                upstream.stopListening();
            }
            const states = [await prober.isAlive(server), await prober.hasEnded(server)];
            node.close();
            upstream.close();
            assert.deepEqual([...states, reports, upstream.received.length], [true, !isListening, 0, 0]);
        });
    }

    it("gets at most its slots at once when the time ends", async () => {
        let running = 0;
        let most = 0;
        const slow: Script = (socket, req) => {
            if (req.index === 0) {
                alwaysQuiet("0.2")(socket, req, undefined as never);
                return;
            }
            most = Math.max(most, ++running);
            setTimeout(() => {
                running--;
                socket.write(answerOf(req.id, "done"));
            }, 30);
        };
        const upstream = await startScriptedUpstream(slow);
        const node = await startGateway([upstream.address], { latencyObjectiveMs: 2_000 });
        const calls = [callGateway(node.address, { headers: { "attempt-id": "id-0" } })];
        await new Promise(resolve => setTimeout(resolve, 50));
        for (let index = 1; index < 30; index++) {
            calls.push(callGateway(node.address, { headers: { "attempt-id": `id-${index}` } }));
        }
        const results = await Promise.all(calls);
        node.close();
        upstream.close();
        assert.deepEqual(new Set(results.map(({ status }) => status)), new Set([200]));
        assert.ok(most <= 9, `${most} at once`);
    });
});

import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { RouteKind } from "../src/types/servingConfig";
import { setupLogs } from "../src/utils/events";
import { callGateway, startGateway } from "./fakes/gatewayHarness";
import type { Script } from "./fakes/scriptedUpstream";
import { startScriptedUpstream } from "./fakes/scriptedUpstream";
import { answer, answerMisdirected, answerWithError, neverAnswer, refuse, reset, truncateAnswer } from "./fakes/upstreamScripts";

const lateTurnMs = 20_000;

/** The first upstream's answer to a request whose next upstream gives its turn too late. */
interface KeptAnswerCase {
    readonly name: string;
    readonly first: Script;
    readonly status: number;
    readonly body?: string;
}

const cases: readonly KeptAnswerCase[] = [
    { name: "relays a server error", first: answerWithError, status: 500, body: "sorry" },
    { name: "refuses a request that no upstream ran", first: refuse, status: 503 },
];

/** Guards against answers that were cleared for a further attempt which then was not made: the caller's connection was reset. */
describe("a request whose next upstream may not be used after all", () => {
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));

    cases.forEach(({ name, first, status, body }) =>
        it(name, async () => {
            const upstreams = await Promise.all([first, answer].map(script => startScriptedUpstream(script)));
            const node = await startGateway(upstreams.map(({ address }) => address), { kind: RouteKind.Idempotent, maxAttempts: 2 });
            const { runnerLimits } = node.gateway;
            runnerLimits.onAnswer("up-1@1", 0.1, performance.now());
            runnerLimits.onPermit("up-1@1", lateTurnMs);
            const result = await callGateway(node.address);
            node.close();
            upstreams.forEach(upstream => upstream.close());
            assert.equal(result.status, status);
            assert.equal(result.isComplete, true);
            assert.deepEqual(upstreams.map(({ received }) => received.length), [1, 0]);
            if (body !== undefined) {
                assert.equal(result.body, body);
            }
        })
    );
});

/** Ends of a second attempt that gives no answer to relay. */
const failedSeconds: readonly { readonly name: string; readonly second: Script; }[] = [
    { name: "refuses the request", second: refuse },
    { name: "answers for another process", second: answerMisdirected },
    { name: "resets the connection", second: reset },
    { name: "truncates its answer", second: truncateAnswer },
    { name: "ends before it is sent the request", second: neverAnswer },
];

/** Guards against a server error that was replaced by a failure of the node's own, as a later attempt gave no answer. */
describe("a request that one upstream failed and whose next upstream", () => {
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));

    failedSeconds.forEach(({ name, second }) =>
        it(`${name} gets the first one's answer`, async () => {
            const upstreams = await Promise.all([answerWithError, second].map(script => startScriptedUpstream(script)));
            if (second === neverAnswer) {
                upstreams[1]!.stopListening();
            }
            const node = await startGateway(upstreams.map(({ address }) => address), { kind: RouteKind.Idempotent, maxAttempts: 2 });
            // The first choice is the upstream that fails.
            node.gateway.trafficOf("up-1").onPeerLoad(0, 4);
            const result = await callGateway(node.address);
            node.close();
            upstreams.forEach(upstream => upstream.close());
            assert.deepEqual({ status: result.status, body: result.body, isComplete: result.isComplete }, { status: 500, body: "sorry", isComplete: true });
        })
    );
});

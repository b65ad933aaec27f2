import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { RouteKind } from "../src/types/servingConfig";
import { setupLogs } from "../src/utils/events";
import { callGateway, startGateway } from "./fakes/gatewayHarness";
import type { Script } from "./fakes/scriptedUpstream";
import { answerOf, startScriptedUpstream } from "./fakes/scriptedUpstream";
import { answer } from "./fakes/upstreamScripts";

const refusalOf = (id: string | undefined): string =>
    `HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n${id === undefined ? "" : `Attempt-Id: ${id}\r\n`}Content-Length: 0\r\n\r\n`;

/** Refuses its first request, and writes that refusal once more where the answer to the second one is expected. */
const repeatRefusal = (withId: boolean): Script => (socket, { id, index }) => {
    if (index === 0) {
        socket.write(refusalOf(withId ? id : undefined));
        return;
    }
    socket.write(refusalOf(withId ? "first" : undefined));
    setTimeout(() => socket.write(answerOf(id, "done")), 20);
};

/** A refusal that comes twice on a kept connection. */
interface RefusalCase {
    readonly name: string;
    readonly withId: boolean;
    readonly kind: RouteKind;
    readonly status: number;
    /** Requests that the other upstream received. */
    readonly receivedElsewhere: number;
}

const cases: readonly RefusalCase[] = [
    { name: "with the ID of the earlier request", withId: true, kind: RouteKind.NonIdempotent, status: 502, receivedElsewhere: 1 },
    { name: "without an ID", withId: false, kind: RouteKind.NonIdempotent, status: 502, receivedElsewhere: 1 },
    { name: "without an ID, for a request that may run again", withId: false, kind: RouteKind.Idempotent, status: 200, receivedElsewhere: 2 },
];

describe("a refusal that is repeated on a kept connection", () => {
    before(() => setupLogs("silent"));
    after(() => setupLogs("info"));
    cases.forEach(({ name, withId, kind, status, receivedElsewhere }) =>
        it(`does not prove that the next request has not run: ${name}`, async () => {
            const faulty = await startScriptedUpstream(repeatRefusal(withId));
            const other = await startScriptedUpstream(answer);
            const node = await startGateway([faulty.address, other.address], { kind, maxAttempts: 2 });
            [0, 1].forEach(index => node.gateway.trafficOf(`up-${index}`).onFirstByte(20 + 200 * index));
            const first = await callGateway(node.address, { headers: { "attempt-id": "first" } });
            // The refusal counts as a failure of the upstream: let the next request go there all the same.
            [0, 1].forEach(() => node.gateway.trafficOf("up-0").onSuccess());
            node.gateway.trafficOf("up-1").onFailure(10);
            const second = await callGateway(node.address, { headers: { "attempt-id": "second" } });
            node.close();
            [faulty, other].forEach(upstream => upstream.close());
            assert.equal(first.status, 200);
            assert.deepEqual(faulty.received.map(({ id }) => id), ["first", "second"]);
            assert.equal(second.status, status);
            assert.equal(other.received.length, receivedElsewhere);
        })
    );
});

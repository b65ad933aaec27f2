import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { EventId } from "../src/types/eventId";
import { FailureKind } from "../src/types/failureKind";
import { MemoryHolder } from "../src/types/memoryHolder";
import { RouteKind } from "../src/types/servingConfig";
import { sleep } from "../src/utils/time";
import type { CallerResult } from "./fakes/gatewayHarness";
import { callGateway } from "./fakes/gatewayHarness";
import { hangNewConnections } from "./fakes/linkCut";
import type { RelayFleet, RelayFleetOptions, RelayNode } from "./fakes/relayFleet";
import { withFleet } from "./fakes/relayFleet";
import type { Script } from "./fakes/scriptedUpstream";
import { answerOf, chunkOf, streamHeadOf } from "./fakes/scriptedUpstream";
import { answer, neverAnswer, sseEvents } from "./fakes/upstreamScripts";

/** A request that is refused at once is answered within this time. */
const atOnceMs = 500;
/** Time after which nothing works on a request whose caller has left. */
const goneMs = 500;

const answerWith = (headers: string): Script => (socket, { id }) => void socket.write(answerOf(id, "done", { headers }));
const refuseWith = (headers: string): Script => (socket, { id }) =>
    void socket.write(`HTTP/1.1 503 Busy\r\nAttempt-Id: ${id}\r\nNot-Executed: 1\r\n${headers}Content-Length: 0\r\n\r\n`);
const firstEvents: Script = (socket, { id }) => void socket.write(streamHeadOf(id) + chunkOf(sseEvents(1, 2)));

/** Calls at a node that is cut off, one after the other, and what becomes of them. */
interface WordCase extends RelayFleetOptions {
    readonly name: string;
    readonly statuses: readonly number[];
    /** Requests that each upstream received. */
    readonly received: readonly number[];
    /** Bounds of the last answer's Retry-After, in seconds. */
    readonly retryAfterS?: readonly [number, number];
}

const wordCases: readonly WordCase[] = [
    { name: "an upstream that is leaving gets no more", scripts: [answerWith("Server-Leaving: 1\r\n"), answer], statuses: [200, 200, 200], received: [1, 2] },
    {
        name: "the only upstream is leaving",
        scripts: [answerWith("Server-Leaving: 1\r\n")],
        statuses: [200, 503, 503],
        received: [1, 0],
        retryAfterS: [0.5, 1.5],
    },
    { name: "an upstream that asked for quiet gets no more", scripts: [refuseWith("Retry-After: 9\r\n"), answer], statuses: [200, 200, 200], received: [1, 3] },
    {
        name: "the only upstream asked for quiet",
        scripts: [refuseWith("Retry-After: 9\r\n")],
        statuses: [503, 503, 503],
        received: [1],
        retryAfterS: [7, 14],
    },
    {
        name: "the only upstream has named a limit",
        scripts: [answerWith("Server-Limit: 0.2\r\n")],
        statuses: [200, 200, 503],
        received: [2],
        retryAfterS: [2, 7],
    },
];

/** What is short at the first peer. */
const shortages: readonly { readonly name: string; readonly kind: FailureKind; readonly begin: (peer: RelayNode) => void; }[] = [
    { name: "descriptors", kind: FailureKind.ConnectionsShort, begin: ({ gateway }) => gateway.settings = { ...gateway.settings, maxDescriptors: 0 } },
    { name: "memory", kind: FailureKind.MemoryShort, begin: ({ gateway }) => gateway.memory.charge(MemoryHolder.Bodies, Number.MAX_SAFE_INTEGER) },
    { name: "heap", kind: FailureKind.HeapShort, begin: ({ gateway }) => Object.defineProperty(gateway.requestHeap, "limitBytes", { get: () => 0 }) },
];

const isAtOnce = ({ afterMs }: CallerResult): void => assert.ok(afterMs < atOnceMs, `${afterMs} ms`);

const settlesAt = async ({ nodes, upstreams: [upstream] }: RelayFleet): Promise<void> => {
    await sleep(goneMs);
    assert.equal(upstream!.closedConnections, upstream!.received.length);
    assert.deepEqual(nodes.map(({ gateway }) => gateway.inProgress), nodes.map(() => 0));
};

describe("a request that goes through a peer", () => {
    for (const { name, statuses, received, retryAfterS, ...options } of wordCases) {
        it(`respects what upstreams say: ${name}`, () =>
            withFleet(options, async fleet => {
                const results: CallerResult[] = [];
                for (let count = 0; count < statuses.length; count++) {
                    results.push(await callGateway(fleet.origin.address, { headers: { "attempt-id": `id-${count}` } }));
                }
                assert.deepEqual(results.map(({ status }) => status), statuses);
                assert.deepEqual(fleet.upstreams.map(upstream => upstream.received.length), received.slice(0, fleet.upstreams.length));
                if (retryAfterS) {
                    const last = results.at(-1)!;
                    const [min, max] = retryAfterS;
                    const seconds = Number(last.headers["retry-after"]);
                    assert.ok(seconds >= min && seconds <= max, `${seconds} s`);
                    isAtOnce(last);
                }
            }));
    }

    for (const { name, kind, begin } of shortages) {
        it(`goes to another one if the first peer is short of ${name}`, () =>
            withFleet({ nodes: 3, scripts: [answer] }, async (fleet, events) => {
                begin(fleet.peers[0]!);
                const body = "0123456789".repeat(30_000);
                for (let count = 0; count < 6; count++) {
                    const { status } = await callGateway(fleet.origin.address, { body, headers: { "attempt-id": `id-${count}` } });
                    assert.equal(status, 200);
                }
                assert.equal(fleet.received.length, 6);
                assert.ok(events.some(({ event, fields }) => event === EventId.RequestRefused && fields.kind === kind), "refused by the first peer");
            }));

        it(`is refused as not run if all peers are short of ${name}`, () =>
            withFleet({ nodes: 3, scripts: [answer] }, async fleet => {
                fleet.peers.forEach(begin);
                const result = await callGateway(fleet.origin.address, { body: "0123456789".repeat(30_000) });
                assert.equal(result.status, 503);
                assert.ok(Number(result.headers["retry-after"]) > 0);
                assert.equal(fleet.received.length, 0);
            }));
    }

    const leavers: readonly { readonly name: string; readonly script: Script; readonly kind: RouteKind; readonly isResumable?: boolean; }[] = [
        { name: "may run again", script: neverAnswer, kind: RouteKind.Idempotent },
        { name: "must run once", script: neverAnswer, kind: RouteKind.NonIdempotent },
        { name: "is a stream without an event", script: neverAnswer, kind: RouteKind.Streaming, isResumable: true },
        { name: "is a stream with events", script: firstEvents, kind: RouteKind.Streaming, isResumable: true },
    ];
    for (const { name, script, ...route } of leavers) {
        it(`ends at its upstream soon after its caller has left: it ${name}`, () =>
            withFleet({ nodes: 3, scripts: [script], route: { ...route, timeoutMs: 6_000 } }, async fleet => {
                await callGateway(fleet.origin.address, { abortAfterMs: 250, headers: { "deadline-ms": "6000" } });
                assert.equal(fleet.received.length, 1);
                await settlesAt(fleet);
            }));
    }

    it("causes no warning of the runtime at either node, with a body", async () => {
        const warnings: string[] = [];
        const onWarning = ({ message }: Error): void => void warnings.push(message);
        process.on("warning", onWarning);
        await withFleet({ scripts: [answer] }, async ({ origin }) => {
            assert.equal((await callGateway(origin.address, { body: "0123456789".repeat(30_000) })).status, 200);
            await sleep(50);
        });
        process.off("warning", onWarning);
        assert.deepEqual(warnings, []);
    });

    const silentCases: readonly {
        readonly name: string;
        readonly silent: number;
        readonly deadlineMs: number;
        readonly status: number;
        readonly maxMs: number;
    }[] = [
        { name: "no peer answers", silent: 6, deadlineMs: 4_000, status: 503, maxMs: 1_000 },
        { name: "no peer answers and little time is left", silent: 6, deadlineMs: 800, status: 503, maxMs: 600 },
        { name: "three of four do not", silent: 3, deadlineMs: 4_000, status: 200, maxMs: 700 },
    ];
    for (const { name, silent, deadlineMs, status, maxMs } of silentCases) {
        it(`does not use up its time on connections that stay unanswered: ${name}`, () =>
            withFleet({ nodes: silent + (status === 200 ? 2 : 1), scripts: [answer] }, async ({ origin, peers }) => {
                const resume = hangNewConnections(peers.slice(0, silent).map(({ peerAddress }) => Number(peerAddress.split(":")[1])));
                try {
                    const result = await callGateway(origin.address, { headers: { "deadline-ms": String(deadlineMs) } });
                    assert.equal(result.status, status);
                    assert.ok(result.afterMs <= maxMs, `${result.afterMs} ms`);
                    assert.ok(status === 200 || Number(result.headers["retry-after"]) > 0);
                }
                finally {
                    resume();
                }
            }));
    }

    it("has the time that its route allows for both nodes together", () =>
        withFleet({ scripts: [neverAnswer], route: { kind: RouteKind.Idempotent, timeoutMs: 700 } }, async fleet => {
            const { status, afterMs } = await callGateway(fleet.origin.address, { headers: { "deadline-ms": "6000" } });
            assert.equal(status, 504);
            assert.ok(afterMs >= 600 && afterMs < 700 + atOnceMs, `${afterMs} ms`);
            assert.ok(Number(/^deadline-ms: (\d+)$/im.exec(fleet.received[0]!.head)?.[1]) <= 700);
            await settlesAt(fleet);
        }));

    it("is lost, and not repeated, if it must run once and its peer ends while an upstream works on it", () =>
        withFleet({ nodes: 3, scripts: [neverAnswer] }, async (fleet, events) => {
            const result = callGateway(fleet.origin.address);
            await sleep(200);
            fleet.peers.find(({ gateway }) => gateway.peers.takenOver > 0)!.peerServer.close();
            assert.equal((await result).status, 502);
            assert.equal(fleet.received.length, 1);
            assert.equal(events.filter(({ event }) => event === EventId.RequestPassedOn).length, 1);
        }));
});

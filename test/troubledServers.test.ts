import { createTRPCClient, httpLink } from "@trpc/client";
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { Agent } from "undici";
import { toFailure } from "../src/core/failures";
import { defaultTransportLimits } from "../src/node/transportLimitSettings";
import type { PeerServerRouter } from "../src/placement/peerServer";
import { RunnerClient } from "../src/platform/runnerClient";
import { StoreClient } from "../src/platform/storeClient";
import { createEngineLookup } from "../src/plugins/httpEngines";
import { createServiceClient } from "../src/plugins/httpServiceClient";
import { createTableClient } from "../src/plugins/infrastructureClients";
import { RouteKind } from "../src/types/servingConfig";
import { createBoundedFetch } from "../src/utils/boundedFetch";
import { setupLogs } from "../src/utils/events";
import { sleep } from "../src/utils/time";
import { callGateway, startGateway } from "./fakes/gatewayHarness";
import { chunkOf, lastChunk, streamHeadOf } from "./fakes/scriptedUpstream";
import type { Trouble } from "./fakes/troubledServer";
import { answerSlowly, dripEndlessly, endlessTroubles, startTroubledServer } from "./fakes/troubledServer";
import { sseEvents } from "./fakes/upstreamScripts";

/** A call must end within its own deadline and this margin. */
const marginMs = 1_000;
const callerDeadlineMs = 1_500;
const maxGrowthBytes = 120_000_000;
const limits = { ...defaultTransportLimits, maxAnswerBytes: 8_388_608 };

before(() => setupLogs("silent"));
after(() => setupLogs("info"));

interface Client {
    readonly name: string;
    /** Time within which a call of this client must end. */
    readonly maxMs: number;
    /** Resolves with the outcome of a call that must fail: it must not look like an answer. */
    readonly call: (address: string) => Promise<string>;
}

const failureOf = (call: Promise<unknown>): Promise<string> => call.then(() => "answered", (err: unknown) => toFailure(err).detail);

const clients: readonly Client[] = [
    {
        name: "the forwarding of a plain request",
        maxMs: callerDeadlineMs,
        call: async address => {
            const node = await startGateway([address], { timeoutMs: callerDeadlineMs });
            const { status } = await callGateway(node.address);
            node.close();
            return status === 502 || status === 504 ? "failed" : "answered";
        },
    },
    {
        name: "the forwarding of a stream",
        maxMs: callerDeadlineMs,
        call: async address => {
            const node = await startGateway([address], { timeoutMs: callerDeadlineMs, kind: RouteKind.Streaming });
            const { status, isComplete } = await callGateway(node.address);
            node.close();
            return status === 502 || status === 504 || !isComplete ? "failed" : "answered";
        },
    },
    {
        name: "the store client",
        maxMs: limits.answerSilenceMs + limits.answerTimeoutMs,
        call: address => failureOf(StoreClient.create(address, limits).readTable("t")),
    },
    { name: "the runner client", maxMs: 500, call: address => failureOf(RunnerClient.create(limits).fetchReport({ id: "u1", address, bornAt: 1 })) },
    {
        name: "the client of peers",
        maxMs: 700,
        call: address => {
            const fetch = createBoundedFetch(new Agent(), { maxBytes: limits.maxAnswerBytes, timeoutMs: 700 });
            const client = createTRPCClient<PeerServerRouter>({ links: [httpLink({ url: `http://${address}`, fetch })] });
            return failureOf(client.announce.mutate({ peerAddress: address, epoch: 1 }));
        },
    },
    { name: "the client of engines", maxMs: 2_000, call: address => failureOf(createEngineLookup()(`http://${address}`).report()) },
    {
        name: "the client of services",
        maxMs: 2 * callerDeadlineMs,
        call: address => {
            const req = { method: "POST", path: "/", headers: {}, body: Buffer.from("{}"), attemptId: "id-1", timeoutMs: callerDeadlineMs, repeatable: false };
            return failureOf(createServiceClient().call(`http://${address}`, req));
        },
    },
    { name: "the client of the table", maxMs: 4_000, call: address => failureOf(createTableClient(`http://${address}`).read("k")) },
];

describe("bytes without end from a server in trouble", { concurrency: true }, () => {
    for (const { name, maxMs, call } of clients) {
        it(`end at the limits of ${name}, whose connection is closed`, async () => {
            for (const [trouble, send] of Object.entries({ ...endlessTroubles, "an answer without end, a byte now and then": dripEndlessly(100) })) {
                const server = await startTroubledServer(send);
                try {
                    const startedAt = performance.now();
                    const bytesBefore = process.memoryUsage().arrayBuffers;
                    const outcome = await call(server.address);
                    const deadlineAt = startedAt + maxMs + marginMs;
                    assert.notEqual(outcome, "answered", trouble);
                    assert.ok(performance.now() < deadlineAt, `${trouble}: ${Math.round(performance.now() - startedAt)} ms`);
                    assert.ok(process.memoryUsage().arrayBuffers - bytesBefore < maxGrowthBytes, `${trouble}: memory`);
                    while (server.openCount > 0 && performance.now() < deadlineAt) {
                        await sleep(10);
                    }
                    assert.equal(server.openCount, 0, `${trouble}: open connections`);
                }
                finally {
                    server.close();
                }
            }
        });
    }
});

describe("slow answers", { concurrency: true }, () => {
    const rows = JSON.stringify({ rows: [], hasMore: false, ver: 3, nowMs: 1, pad: "x".repeat(100_000) });

    it("of the store are read as long as they make progress", async () => {
        const server = await startTroubledServer(answerSlowly(rows, 10, 200));
        assert.equal((await StoreClient.create(server.address, limits).readTable("t")).version, 3);
        server.close();
    });

    interface StreamCase {
        readonly name: string;
        readonly isResumable: boolean;
        readonly first: Trouble;
        readonly status: number;
        readonly isComplete: boolean;
        readonly body?: string;
        readonly secondCount: number;
    }
    /** Events 1 to 3, with a pause of `pauseMs` before each. */
    const slowStream = (pauseMs: number): Trouble => socket => {
        socket.write(streamHeadOf("id-1"));
        [1, 2, 3].forEach(id => setTimeout(() => socket.write(chunkOf(sseEvents(id, id)) + (id === 3 ? lastChunk : "")), id * pauseMs));
    };
    /** Event 1, then a byte of the next event every 100 ms. */
    const stalledStream: Trouble = socket => {
        socket.write(streamHeadOf("id-1") + chunkOf(sseEvents(1, 1)));
        const timer = setInterval(() => socket.destroyed ? clearInterval(timer) : socket.write(chunkOf(":")), 100);
    };
    const resumedStream: Trouble = socket => void socket.write(streamHeadOf("id-1") + chunkOf(sseEvents(2, 3)) + lastChunk);
    const streamCases: readonly StreamCase[] = [
        {
            name: "a slow but sound stream is not cut",
            isResumable: false,
            first: slowStream(1_800),
            status: 200,
            isComplete: true,
            body: sseEvents(1, 3),
            secondCount: 0,
        },
        {
            name: "a slow but sound stream that could be resumed elsewhere is not cut",
            isResumable: true,
            first: slowStream(1_200),
            status: 200,
            isComplete: true,
            body: sseEvents(1, 3),
            secondCount: 0,
        },
        {
            name: "a stalled stream that sends a byte now and then is resumed elsewhere",
            isResumable: true,
            first: stalledStream,
            status: 200,
            isComplete: true,
            body: sseEvents(1, 3),
            secondCount: 1,
        },
        {
            name: "a stalled stream that cannot be resumed ends at its deadline",
            isResumable: false,
            first: stalledStream,
            status: 200,
            isComplete: false,
            secondCount: 0,
        },
    ];
    for (const { name, isResumable, first, status, isComplete, body, secondCount } of streamCases) {
        it(name, async () => {
            const servers = [await startTroubledServer(first), await startTroubledServer(resumedStream)];
            const timeoutMs = 7_000;
            const node = await startGateway(servers.map(({ address }) => address), {
                kind: RouteKind.Streaming,
                isResumable,
                maxAttempts: 2,
                timeoutMs,
            });
            const result = await callGateway(node.address, { headers: { "deadline-ms": String(timeoutMs) } });
            node.close();
            servers.forEach(server => server.close());
            assert.equal(result.status, status);
            assert.equal(result.isComplete, isComplete);
            if (body !== undefined) {
                assert.equal(result.body, body);
            }
            assert.equal(servers[1]!.requestCount, secondCount);
            assert.ok(result.afterMs < timeoutMs + marginMs);
        });
    }
});

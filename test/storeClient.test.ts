import assert from "node:assert/strict";
import type { Server } from "node:http";
import { after, before, beforeEach, describe, it } from "node:test";
import { toFailure } from "../src/core/failures";
import { defaultTransportLimits } from "../src/node/transportLimitSettings";
import { StoreClient } from "../src/platform/storeClient";
import { FeedKind, TransactionKind } from "../src/types/rowStore";
import { createStoreVersion } from "../src/types/storeVersion";
import { Verdict } from "../src/types/verdict";
import type { Handler } from "./fakes/jsonServer";
import { alreadyAnswered, portOf, serveJson, StatusResponse } from "./fakes/jsonServer";

const row = { table: "t", part: "", key: "k", value: Buffer.from("one").toString("base64"), ver: 4 };
const rowName = { table: "t", part: "", key: "k" };

/** Handlers of the fake store by call; each test sets those that it needs. */
const handlers: Record<string, Handler> = {};
const route = (call: string): Handler => request => handlers[call]!(request);

describe("store client", () => {
    let server: Server;
    let client: StoreClient;
    before(async () => {
        server = await serveJson(0, {
            "GET /api/rows-get": route("get"),
            "GET /api/rows-feed": route("feed"),
            "POST /api/rows-tx": route("tx"),
        });
        client = StoreClient.create(`127.0.0.1:${portOf(server)}`, defaultTransportLimits);
    });
    after(() => {
        server.closeAllConnections();
        server.close();
    });

    it("reads a table page by page and returns the version of the first page", async () => {
        handlers.get = ({ url }) =>
            url.searchParams.get("from") === ""
                ? { rows: [row], hasMore: true, ver: 9, nowMs: 70 }
                : { rows: [{ ...row, key: "l", ver: 5 }], hasMore: false, ver: 12, nowMs: 80 };
        const { rows, version } = await client.readTable("t");
        assert.deepEqual(rows.map(({ key }) => key), ["k", "l"]);
        assert.equal(version, 9);
        assert.equal(rows[0]!.value!.toString(), "one");
    });

    it("returns a row together with the store's clock", async () => {
        handlers.get = () => ({ rows: [row], hasMore: false, ver: 9, nowMs: 70 });
        const reading = await client.readRow(rowName);
        assert.deepEqual([reading.row?.version, reading.nowMs], [4, 70]);
        assert.equal((await client.readRow({ ...rowName, key: "j" })).row, undefined);
    });

    it("distinguishes changes, deleted rows and lost history", async () => {
        const { signal } = new AbortController();
        handlers.feed = () => ({ rows: [row, { ...row, key: "gone", deleted: true, ver: 6 }], ver: 6, nowMs: 90 });
        const reading = await client.feed("t", 3, 100, signal);
        assert.ok(reading.kind === FeedKind.Changes);
        assert.deepEqual(reading.rows.map(({ value }) => value?.toString()), ["one", undefined]);
        handlers.feed = () => new StatusResponse(410);
        assert.deepEqual(await client.feed("t", 3, 100, signal), { kind: FeedKind.HistoryGone });
    });

    it("distinguishes a commit from a conflict", async () => {
        handlers.tx = ({ body }) =>
            (body as { expected: { ver: number; }[]; }).expected[0]!.ver === 4 ? { ver: 10, nowMs: 95 } : new StatusResponse(412, { rows: [row] });
        const put = { conditions: [{ ...rowName, version: 4 }], puts: [{ ...rowName, value: Buffer.from("two") }] };
        assert.deepEqual(await client.transact(put), { kind: TransactionKind.Committed, version: 10, nowMs: 95 });
        const conflict = await client.transact({ ...put, conditions: [{ ...rowName, version: 3 }] });
        assert.ok(conflict.kind === TransactionKind.Conflict);
        assert.equal(conflict.rows[0]!.version, 4);
    });

    describe("after a restore", () => {
        let restored: StoreClient;
        beforeEach(() => restored = StoreClient.create(`127.0.0.1:${portOf(server)}`, defaultTransportLimits));
        const answerOf = (era: number, value: unknown): Handler => ({ res }) => {
            res.setHeader("store-era", era);
            return value;
        };
        const { signal } = new AbortController();
        const put = { conditions: [{ ...rowName, version: createStoreVersion(1, 4) }], puts: [] };

        it("names the era in all versions", async () => {
            handlers.get = answerOf(2, { rows: [row], hasMore: false, ver: 9, nowMs: 70 });
            handlers.tx = answerOf(2, { ver: 10 });
            const [{ rows, version }, reading] = [await restored.readTable("t"), await restored.readRow(rowName)];
            assert.deepEqual([rows[0]!.version, version, reading.version], [createStoreVersion(2, 4), createStoreVersion(2, 9), createStoreVersion(2, 9)]);
            const committed = await restored.transact({ conditions: [], puts: [] });
            assert.ok(committed.kind === TransactionKind.Committed);
            assert.equal(committed.version, createStoreVersion(2, 10));
        });

        it("does not take the changes of another era for those after a version", async () => {
            handlers.feed = answerOf(2, { rows: [row], ver: 6, nowMs: 90 });
            assert.deepEqual(await restored.feed("t", createStoreVersion(1, 3), 100, signal), { kind: FeedKind.HistoryGone });
        });

        it("ends a wait for changes of the era before as soon as another answer names the new one", async () => {
            handlers.get = answerOf(1, { rows: [], hasMore: false, ver: 9, nowMs: 70 });
            await restored.readTable("t");
            handlers.feed = () => new Promise(() => undefined);
            const waiting = restored.feed("t", createStoreVersion(1, 9), 5_000, signal);
            handlers.get = answerOf(2, { rows: [], hasMore: false, ver: 3, nowMs: 70 });
            await restored.readTable("t");
            assert.deepEqual(await waiting, { kind: FeedKind.HistoryGone });
        });

        it("does not send conditions of the era before", async () => {
            handlers.get = answerOf(2, { rows: [], hasMore: false, ver: 3, nowMs: 70 });
            await restored.readTable("t");
            handlers.tx = () => assert.fail("sent");
            assert.deepEqual(await restored.transact(put), { kind: TransactionKind.Outdated });
        });

        it("shows by the era of a commit that its condition held for other content", async () => {
            handlers.get = answerOf(1, { rows: [], hasMore: false, ver: 3, nowMs: 70 });
            await restored.readTable("t");
            handlers.tx = answerOf(2, { ver: 10 });
            const committed = await restored.transact(put);
            assert.ok(committed.kind === TransactionKind.Committed);
            assert.equal(committed.version, createStoreVersion(2, 10));
        });

        it("discards an answer of an era before that of an earlier answer", async () => {
            handlers.get = answerOf(2, { rows: [], hasMore: false, ver: 3, nowMs: 70 });
            await restored.readTable("t");
            handlers.get = answerOf(1, { rows: [row], hasMore: false, ver: 9, nowMs: 60 });
            await assert.rejects(restored.readTable("t"), (err: unknown) => toFailure(err).verdict === Verdict.MayHaveRun);
        });

        it("does not join pages of two eras", async () => {
            handlers.get = input =>
                input.url.searchParams.get("from") === ""
                    ? answerOf(1, { rows: [row], hasMore: true, ver: 9, nowMs: 70 })(input)
                    : answerOf(2, { rows: [], hasMore: false, ver: 3, nowMs: 80 })(input);
            await assert.rejects(restored.readTable("t"));
        });
    });

    const failures: readonly { readonly name: string; readonly handler: Handler; readonly verdict: Verdict; }[] = [
        { name: "takes status 503 as proof that the transaction did not run", handler: () => new StatusResponse(503), verdict: Verdict.NotRun },
        { name: "takes status 429 as proof that the transaction did not run", handler: () => new StatusResponse(429), verdict: Verdict.NotRun },
        { name: "leaves the outcome unknown after another status", handler: () => new StatusResponse(500), verdict: Verdict.MayHaveRun },
        { name: "leaves the outcome unknown after an answer of an unexpected form", handler: () => ({ version: "ten" }), verdict: Verdict.MayHaveRun },
        {
            name: "leaves the outcome unknown after a lost answer",
            handler: ({ res }) => {
                res.destroy();
                return alreadyAnswered;
            },
            verdict: Verdict.MayHaveRun,
        },
        { name: "times out without an answer and leaves the outcome unknown", handler: () => new Promise(() => undefined), verdict: Verdict.MayHaveRun },
    ];
    for (const { name, handler, verdict } of failures) {
        it(name, async () => {
            handlers.tx = handler;
            const startedAt = performance.now();
            const err: unknown = await client.transact({ conditions: [], puts: [] }).catch((thrown: unknown) => thrown);
            assert.equal(toFailure(err).verdict, verdict);
            assert.ok(performance.now() - startedAt < 1_500);
        });
    }
});

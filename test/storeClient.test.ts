import assert from "node:assert/strict";
import type { Server } from "node:http";
import { after, before, describe, it } from "node:test";
import { toFailure } from "../src/core/failures";
import { StoreClient } from "../src/platform/storeClient";
import { FeedKind, TransactionKind } from "../src/types/rowStore";
import { Verdict } from "../src/types/verdict";
import type { Handler } from "./fakes/jsonServer";
import { alreadyAnswered, portOf, serveJson, StatusResponse } from "./fakes/jsonServer";

const row = { table: "t", part: "", key: "k", value: Buffer.from("one").toString("base64"), ver: 4 };
const name = { table: "t", part: "", key: "k" };

/** Answers of the store by call; a test sets what it needs. */
const handlers: Record<string, Handler> = {};
const route = (call: string): Handler => request => handlers[call]!(request);

describe("the store's client", () => {
    let server: Server;
    let client: StoreClient;
    before(async () => {
        server = await serveJson(0, {
            "GET /api/rows-get": route("get"),
            "GET /api/rows-feed": route("feed"),
            "POST /api/rows-tx": route("tx"),
        });
        client = StoreClient.create(`127.0.0.1:${portOf(server)}`);
    });
    after(() => {
        server.closeAllConnections();
        server.close();
    });

    it("reads a table page by page, as of its first page", async () => {
        handlers.get = ({ url }) =>
            url.searchParams.get("from") === ""
                ? { rows: [row], hasMore: true, ver: 9, nowMs: 70 }
                : { rows: [{ ...row, key: "l", ver: 5 }], hasMore: false, ver: 12, nowMs: 80 };
        const { rows, version } = await client.readTable("t");
        assert.deepEqual(rows.map(({ key }) => key), ["k", "l"]);
        assert.equal(version, 9);
        assert.equal(rows[0]!.value!.toString(), "one");
    });

    it("reads a row with the store's clock", async () => {
        handlers.get = () => ({ rows: [row], hasMore: false, ver: 9, nowMs: 70 });
        const reading = await client.readRow(name);
        assert.deepEqual([reading.row?.version, reading.nowMs], [4, 70]);
        assert.equal((await client.readRow({ ...name, key: "j" })).row, undefined);
    });

    it("tells changes, dropped rows and lost history apart", async () => {
        const { signal } = new AbortController();
        handlers.feed = () => ({ rows: [row, { ...row, key: "gone", deleted: true, ver: 6 }], ver: 6, nowMs: 90 });
        const reading = await client.feed("t", 3, 100, signal);
        assert.ok(reading.kind === FeedKind.Changes);
        assert.deepEqual(reading.rows.map(({ value }) => value?.toString()), ["one", undefined]);
        handlers.feed = () => new StatusResponse(410);
        assert.deepEqual(await client.feed("t", 3, 100, signal), { kind: FeedKind.HistoryGone });
    });

    it("tells a commit from a conflict", async () => {
        handlers.tx = ({ body }) =>
            (body as { expected: { ver: number; }[]; }).expected[0]!.ver === 4 ? { ver: 10, nowMs: 95 } : new StatusResponse(412, { rows: [row] });
        const put = { conditions: [{ ...name, version: 4 }], puts: [{ ...name, value: Buffer.from("two") }] };
        assert.deepEqual(await client.transact(put), { kind: TransactionKind.Committed, version: 10, nowMs: 95 });
        const lost = await client.transact({ ...put, conditions: [{ ...name, version: 3 }] });
        assert.ok(lost.kind === TransactionKind.Conflict);
        assert.equal(lost.rows[0]!.version, 4);
    });

    const failures: readonly { readonly name: string; readonly handler: Handler; readonly verdict: Verdict; }[] = [
        { name: "503 proves that nothing was done", handler: () => new StatusResponse(503), verdict: Verdict.NotRun },
        { name: "429 proves that nothing was done", handler: () => new StatusResponse(429), verdict: Verdict.NotRun },
        { name: "another status leaves it open", handler: () => new StatusResponse(500), verdict: Verdict.MayHaveRun },
        { name: "an answer of another form leaves it open", handler: () => ({ version: "ten" }), verdict: Verdict.MayHaveRun },
        {
            name: "a lost answer leaves it open",
            handler: ({ res }) => {
                res.destroy();
                return alreadyAnswered;
            },
            verdict: Verdict.MayHaveRun,
        },
        { name: "silence leaves it open, in time", handler: () => new Promise(() => undefined), verdict: Verdict.MayHaveRun },
    ];
    for (const { name: what, handler, verdict } of failures) {
        it(what, async () => {
            handlers.tx = handler;
            const startedAt = performance.now();
            const err: unknown = await client.transact({ conditions: [], puts: [] }).catch((thrown: unknown) => thrown);
            assert.equal(toFailure(err).verdict, verdict);
            assert.ok(performance.now() - startedAt < 1_500);
        });
    }
});

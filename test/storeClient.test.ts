import assert from "node:assert/strict";
import type { Server } from "node:http";
import { after, before, describe, it } from "node:test";
import { toFailure } from "../src/core/failures";
import { defaultTransportLimits } from "../src/node/transportLimitSettings";
import { StoreClient } from "../src/platform/storeClient";
import { FeedKind, TransactionKind } from "../src/types/rowStore";
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

import type { Server } from "node:http";
import { toFailure } from "../../src/core/failures";
import { FeedKind, TransactionKind } from "../../src/types/rowStore";
import type { StoredRow } from "../../src/types/rowStore";
import { counterOf, createStoreVersion } from "../../src/types/storeVersion";
import { Verdict } from "../../src/types/verdict";
import { sleep } from "../../src/utils/time";
import type { Handler } from "./jsonServer";
import { alreadyAnswered, serveJson, StatusResponse } from "./jsonServer";
import type { MemoryPlatformStore } from "./memoryPlatformStore";

/** Interval at which a waiting feed request checks for changes. */
const feedPollMs = 20;

const toWire = ({ table, part, key, value, version }: StoredRow) => ({
    table,
    part,
    key,
    ver: counterOf(version),
    ...(value ? { value: value.toString("base64") } : { deleted: true }),
});

interface WireTransaction {
    readonly expected: readonly { readonly table: string; readonly part: string; readonly key: string; readonly ver: number; }[];
    readonly puts: readonly { readonly table: string; readonly part: string; readonly key: string; readonly value: string; }[];
}

/** Answers failures as the platform's store does: 503 if nothing was applied, a destroyed connection if the outcome is unknown. */
const withFailureResponses = (store: MemoryPlatformStore, handlers: Readonly<Record<string, Handler>>): Readonly<Record<string, Handler>> =>
    Object.fromEntries(
        Object.entries(handlers).map(([route, handler]): [string, Handler] => [route, async input => {
            try {
                const answer = await handler(input);
                if (store.isSilent) {
                    return alreadyAnswered;
                }
                if (store.answerWith) {
                    const { code, value } = answer instanceof StatusResponse ? answer : new StatusResponse(200, answer);
                    store.answerWith(input.req.socket, code, JSON.stringify(value));
                    return alreadyAnswered;
                }
                input.res.setHeader("store-era", store.era);
                return answer;
            }
            catch (err) {
                if (toFailure(err).verdict === Verdict.NotRun) {
                    return new StatusResponse(503);
                }
                input.res.destroy();
                return alreadyAnswered;
            }
        }]),
    );

/** Serves an in-memory store by the platform's protocol. */
export const servePlatformStore = (store: MemoryPlatformStore, port = 0): Promise<Server> =>
    serveJson(
        port,
        withFailureResponses(store, {
            "GET /api/rows-get": async ({ url }) => {
                const { rows, version } = await store.readTable(url.searchParams.get("table") ?? "");
                const from = url.searchParams.get("from") ?? "";
                return { rows: rows.filter(({ key }) => key >= from).map(toWire), hasMore: false, ver: counterOf(version), nowMs: store.nowMs };
            },
            "GET /api/rows-feed": async ({ url }) => {
                const deadlineAt = performance.now() + Number(url.searchParams.get("waitMs"));
                for (;;) {
                    const result = await store.feed(url.searchParams.get("table") ?? "", createStoreVersion(store.era, Number(url.searchParams.get("after"))));
                    if (result.kind === FeedKind.HistoryGone) {
                        return new StatusResponse(410);
                    }
                    if (result.rows.length > 0 || performance.now() > deadlineAt) {
                        return { rows: result.rows.map(toWire), ver: counterOf(result.version), nowMs: store.nowMs };
                    }
                    await sleep(feedPollMs);
                }
            },
            "POST /api/rows-tx": async ({ body }) => {
                const { expected, puts } = body as WireTransaction;
                const result = await store.transact({
                    conditions: expected.map(({ ver, ...name }) => ({ ...name, version: createStoreVersion(store.era, ver) })),
                    puts: puts.map(({ value, ...name }) => ({ ...name, value: Buffer.from(value, "base64") })),
                });
                if (result.kind === TransactionKind.Committed) {
                    return { ver: counterOf(result.version), nowMs: store.nowMs };
                }
                return new StatusResponse(412, { rows: result.kind === TransactionKind.Conflict ? result.rows.map(toWire) : [], nowMs: store.nowMs });
            },
        }),
    );

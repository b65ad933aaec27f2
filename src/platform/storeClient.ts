import { Agent, request } from "undici";
import { z } from "zod";
import { FailureError } from "../core/failures";
import { EventId } from "../types/eventId";
import { FailureKind } from "../types/failureKind";
import type { FeedResult, RowName, RowResult, RowStore, StoredRow, TransactionResult, VersionedRows } from "../types/rowStore";
import { FeedKind, TransactionKind } from "../types/rowStore";
import type { TransportLimits } from "../types/transportLimits";
import { Verdict } from "../types/verdict";
import { emit } from "../utils/events";
import { errorCodeOf, readAnswerText, verdictOfError } from "../utils/transport";
import { parseJson, parseWith } from "./schemas";

/** A local store answers within milliseconds; a connection attempt that takes longer is abandoned. */
const connectTimeoutMs = 500;
/** One connection for each of the two change feeds, one for the lease, and one spare. */
const maxConnections = 4;
/** Rises by one each time the store is restored from an older copy; answers of stores that are never restored may lack it. */
const eraHeader = "store-era";
/** Rows per page; the platform's limit. */
const pageRows = 500;

const rowSchema = z.object({
    table: z.string().default(""),
    part: z.string().default(""),
    key: z.string(),
    value: z.string().optional(),
    ver: z.number(),
    deleted: z.boolean().default(false),
});
/** `ver` beside `rows` is the newest version of the whole store; `nowMs` is the store's monotonic clock, not wall-clock time. */
const rowsSchema = z.object({ rows: z.array(rowSchema), hasMore: z.boolean().default(false), ver: z.number(), nowMs: z.number() });
const committedSchema = z.object({ ver: z.number(), nowMs: z.number().optional() });
const conflictSchema = z.object({ rows: z.array(rowSchema).default([]), nowMs: z.number().optional() });

interface StoreAnswer {
    readonly status: number;
    readonly value: unknown;
}

const toRow = (row: z.infer<typeof rowSchema>): StoredRow => ({
    table: row.table,
    part: row.part,
    key: row.key,
    value: row.deleted || row.value === undefined ? undefined : Buffer.from(row.value, "base64"),
    version: row.ver,
});

const throwStoreFailure = (verdict: Verdict, detail: string): never => {
    throw FailureError.create({ kind: FailureKind.TableUnavailable, verdict, detail });
};

const decode = <T>(schema: z.ZodType<T>, answer: StoreAnswer): T => {
    const result = parseWith(schema, answer.value);
    return "faults" in result ? throwStoreFailure(Verdict.MayHaveRun, `answer of an unexpected form: ${result.faults.join("; ")}`) : result.value;
};

/** HTTP client of the platform's metadata store. */
export class StoreClient implements RowStore {
    /** A call that times out closes its connection, which may no longer deliver anything. */
    private readonly agent: Agent;
    /** Era of the newest answer. */
    private era: number | undefined;

    private constructor(private readonly address: string, private readonly limits: TransportLimits) {
        this.agent = new Agent({
            connect: { timeout: connectTimeoutMs },
            headersTimeout: 0,
            bodyTimeout: 0,
            maxHeaderSize: limits.maxAnswerHeadBytes,
            connections: maxConnections,
            pipelining: 1,
        });
    }

    /** Creates a client; connections are opened on first use. */
    static create(address: string, limits: TransportLimits): StoreClient {
        return new StoreClient(address, limits);
    }

    async readTable(table: string): Promise<VersionedRows> {
        const rows: StoredRow[] = [];
        let from = "";
        // The feed continues from the version of the first page, so that it delivers changes made while later pages are read.
        let version: number | undefined;
        for (;;) {
            const page = decode(rowsSchema, await this.call("GET", "rows-get", { table, part: "", from, limit: pageRows }));
            rows.push(...page.rows.map(toRow));
            version ??= page.ver;
            const last = page.rows.at(-1);
            if (!page.hasMore || !last) {
                return { rows, version };
            }
            from = `${last.key}\u0000`;
        }
    }

    async readRow({ table, part, key }: RowName): Promise<RowResult> {
        const page = decode(rowsSchema, await this.call("GET", "rows-get", { table, part, from: key, limit: 1 }));
        return { row: page.rows.map(toRow).find(row => row.key === key), nowMs: page.nowMs };
    }

    async feed(table: string, after: number, waitMs: number, signal: AbortSignal): Promise<FeedResult> {
        const answer = await this.call("GET", "rows-feed", { table, after, waitMs }, { waitMs, signal });
        if (answer.status === 410) {
            return { kind: FeedKind.HistoryGone };
        }
        const page = decode(rowsSchema, answer);
        return { kind: FeedKind.Changes, rows: page.rows.map(toRow), version: page.ver };
    }

    async transact({ conditions, puts }: Parameters<RowStore["transact"]>[0]): Promise<TransactionResult> {
        const answer = await this.call("POST", "rows-tx", {}, {
            body: {
                expected: conditions.map(({ table, part, key, version }) => ({ table, part, key, ver: version })),
                puts: puts.map(({ table, part, key, value }) => ({ table, part, key, value: value.toString("base64") })),
                remove: [],
            },
        });
        if (answer.status === 412) {
            const { rows, nowMs } = decode(conflictSchema, answer);
            return { kind: TransactionKind.Conflict, rows: rows.map(toRow), nowMs };
        }
        const { ver, nowMs } = decode(committedSchema, answer);
        return { kind: TransactionKind.Committed, version: ver, nowMs };
    }

    private async call(
        method: "GET" | "POST",
        path: string,
        query: Readonly<Record<string, string | number>>,
        { waitMs = 0, signal, body }: { readonly waitMs?: number; readonly signal?: AbortSignal; readonly body?: unknown; } = {},
    ): Promise<StoreAnswer> {
        const headTimeoutMs = waitMs + this.limits.answerSilenceMs;
        const headTimeout = new AbortController();
        const headTimer = setTimeout(() => headTimeout.abort(), headTimeoutMs);
        try {
            const search = new URLSearchParams(Object.entries(query).map(([name, value]): [string, string] => [name, String(value)]));
            const res = await request(`http://${this.address}/api/${path}?${search.toString()}`, {
                method,
                dispatcher: this.agent,
                headers: body === undefined ? {} : { "content-type": "application/json" },
                body: body === undefined ? undefined : JSON.stringify(body),
                signal: signal ? AbortSignal.any([signal, headTimeout.signal]) : headTimeout.signal,
            });
            clearTimeout(headTimer);
            const { maxAnswerBytes, answerTimeoutMs, answerSilenceMs } = this.limits;
            const text = await readAnswerText(res.body, { maxBytes: maxAnswerBytes, timeoutMs: answerTimeoutMs, silenceMs: answerSilenceMs });
            this.onEra(Number(res.headers[eraHeader] ?? 0));
            if (res.statusCode === 503 || res.statusCode === 429) {
                return throwStoreFailure(Verdict.NotRun, `refused with status ${res.statusCode}`);
            }
            if (![200, 410, 412].includes(res.statusCode)) {
                return throwStoreFailure(Verdict.MayHaveRun, `unexpected status ${res.statusCode}`);
            }
            return { status: res.statusCode, value: parseJson(text) };
        }
        catch (err) {
            if (err instanceof FailureError) {
                throw err;
            }
            return throwStoreFailure(verdictOfError(err), headTimeout.signal.aborted ? `no answer within ${headTimeoutMs} ms` : errorCodeOf(err));
        }
        finally {
            clearTimeout(headTimer);
        }
    }

    private onEra(era: number): void {
        if (era !== this.era) {
            emit(EventId.StoreEraChanged, { era, before: this.era });
            this.era = era;
        }
    }
}

import { Agent, request } from "undici";
import { z } from "zod";
import { FailureError } from "../core/failures";
import type { OwnAnswerMemory } from "../core/ownAnswerMemory";
import { EventId } from "../types/eventId";
import { FailureKind } from "../types/failureKind";
import { OwnAnswerKind } from "../types/ownAnswerKind";
import type { FeedResult, RowName, RowResult, RowStore, StoredRow, TransactionResult, VersionedRows } from "../types/rowStore";
import { FeedKind, TransactionKind } from "../types/rowStore";
import type { StoreVersion } from "../types/storeVersion";
import { counterOf, createStoreVersion, eraOf, maxStoreCounter, maxStoreEra } from "../types/storeVersion";
import type { TransportLimits } from "../types/transportLimits";
import { Verdict } from "../types/verdict";
import { emit } from "../utils/events";
import { createPunctualConnector } from "../utils/punctualConnector";
import { readAnswerText, reasonOf, verdictOfError } from "../utils/transport";
import { parseJson, parseWith } from "./schemas";

/** A local store answers within milliseconds; a connection attempt that takes longer is abandoned. */
const connectTimeoutMs = 500;
/** One connection for each of the two change feeds, one for the lease, and one spare. */
const maxConnections = 4;
/** Rises by one each time the store is restored from an older copy; answers of stores that are never restored may lack it. */
const eraHeader = "store-era";
/** Rows per page; the platform's limit. */
const pageRows = 500;

const counterSchema = z.number().int().min(0).max(maxStoreCounter);
const eraSchema = z.coerce.number().int().min(0).max(maxStoreEra);
const rowSchema = z.object({
    table: z.string().default(""),
    part: z.string().default(""),
    key: z.string(),
    value: z.string().optional(),
    ver: counterSchema,
    deleted: z.boolean().default(false),
});
/** `ver` beside `rows` is the newest version of the whole store; `nowMs` is the store's monotonic clock, not wall-clock time. */
const rowsSchema = z.object({ rows: z.array(rowSchema), hasMore: z.boolean().default(false), ver: counterSchema, nowMs: z.number() });
const committedSchema = z.object({ ver: counterSchema, nowMs: z.number().optional() });
const conflictSchema = z.object({ rows: z.array(rowSchema).default([]), ver: counterSchema.default(0), nowMs: z.number().optional() });

interface StoreAnswer {
    readonly status: number;
    readonly era: number;
    readonly value: unknown;
}

const toRow = (row: z.infer<typeof rowSchema>, era: number): StoredRow => ({
    table: row.table,
    part: row.part,
    key: row.key,
    value: row.deleted || row.value === undefined ? undefined : Buffer.from(row.value, "base64"),
    version: createStoreVersion(era, row.ver),
});

const toRows = ({ era }: StoreAnswer, rows: readonly z.infer<typeof rowSchema>[]): readonly StoredRow[] => rows.map(row => toRow(row, era));

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
    /** Counts what is kept of answers while they are read. */
    answers: OwnAnswerMemory | undefined;
    /** Newest era that an answer has named. */
    private era: number | undefined;
    /** Ends the calls that wait for changes after a version of an earlier era. */
    private eraEnd = new AbortController();

    private constructor(private readonly address: string, private readonly limits: TransportLimits) {
        this.agent = new Agent({
            connect: createPunctualConnector({ timeout: connectTimeoutMs }),
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
            const answer = await this.call("GET", "rows-get", { table, part: "", from, limit: pageRows });
            const page = decode(rowsSchema, answer);
            rows.push(...toRows(answer, page.rows));
            version ??= createStoreVersion(answer.era, page.ver);
            if (eraOf(version) !== answer.era) {
                return throwStoreFailure(Verdict.NotRun, "the store was restored between two pages of a table");
            }
            const last = page.rows.at(-1);
            if (!page.hasMore || !last) {
                return { rows, version };
            }
            const next = `${last.key}\u0000`;
            if (next === from) {
                return throwStoreFailure(Verdict.Ran, "a page of a table repeats the one before it");
            }
            from = next;
        }
    }

    async readRow({ table, part, key }: RowName): Promise<RowResult> {
        const answer = await this.call("GET", "rows-get", { table, part, from: key, limit: 1 });
        const page = decode(rowsSchema, answer);
        return { row: toRows(answer, page.rows).find(row => row.key === key), version: createStoreVersion(answer.era, page.ver), nowMs: page.nowMs };
    }

    async feed(table: string, after: StoreVersion, waitMs: number, signal: AbortSignal): Promise<FeedResult> {
        const era = eraOf(after);
        try {
            const query = { table, after: counterOf(after), waitMs };
            const answer = this.hasEnded(era) ? undefined : await this.call("GET", "rows-feed", query, { waitMs, signal, endsWithEra: true });
            if (answer?.era !== era || answer.status === 410) {
                return { kind: FeedKind.HistoryGone };
            }
            const page = decode(rowsSchema, answer);
            return { kind: FeedKind.Changes, rows: toRows(answer, page.rows), version: createStoreVersion(era, page.ver) };
        }
        catch (err) {
            if (this.hasEnded(era)) {
                return { kind: FeedKind.HistoryGone };
            }
            throw err;
        }
    }

    async transact({ conditions, puts, removes = [] }: Parameters<RowStore["transact"]>[0]): Promise<TransactionResult> {
        if (conditions.some(({ version }) => this.hasEnded(eraOf(version)))) {
            return { kind: TransactionKind.Outdated };
        }
        const answer = await this.call("POST", "rows-tx", {}, {
            body: {
                expected: conditions.map(({ table, part, key, version }) => ({ table, part, key, ver: counterOf(version) })),
                puts: puts.map(({ table, part, key, value }) => ({ table, part, key, value: value.toString("base64") })),
                remove: removes.map(({ table, part, key }) => ({ table, part, key })),
            },
        });
        if (answer.status === 412) {
            const { rows, ver, nowMs } = decode(conflictSchema, answer);
            return { kind: TransactionKind.Conflict, rows: toRows(answer, rows), version: createStoreVersion(answer.era, ver), nowMs };
        }
        const { ver, nowMs } = decode(committedSchema, answer);
        return { kind: TransactionKind.Committed, version: createStoreVersion(answer.era, ver), nowMs };
    }

    private async call(
        method: "GET" | "POST",
        path: string,
        query: Readonly<Record<string, string | number>>,
        { waitMs = 0, signal, body, endsWithEra = false }: {
            readonly waitMs?: number;
            readonly signal?: AbortSignal;
            readonly body?: unknown;
            readonly endsWithEra?: boolean;
        } = {},
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
                signal: AbortSignal.any([headTimeout.signal, ...signal ? [signal] : [], ...endsWithEra ? [this.eraEnd.signal] : []]),
            });
            clearTimeout(headTimer);
            const { maxAnswerBytes, answerTimeoutMs, answerSilenceMs } = this.limits;
            const hold = this.answers?.open(OwnAnswerKind.Store);
            const text = await readAnswerText(res.body, { maxBytes: maxAnswerBytes, timeoutMs: answerTimeoutMs, silenceMs: answerSilenceMs, hold });
            const era = eraSchema.safeParse(res.headers[eraHeader] ?? 0).data;
            this.onEra(era ?? 0);
            if (res.statusCode === 503 || res.statusCode === 429) {
                return throwStoreFailure(Verdict.NotRun, `refused with status ${res.statusCode}`);
            }
            if (![200, 410, 412].includes(res.statusCode)) {
                return throwStoreFailure(Verdict.MayHaveRun, `unexpected status ${res.statusCode}`);
            }
            if (era === undefined || this.hasEnded(era)) {
                return throwStoreFailure(Verdict.MayHaveRun, `answer of era ${String(res.headers[eraHeader])} after one of era ${this.era}`);
            }
            return { status: res.statusCode, era, value: parseJson(text) };
        }
        catch (err) {
            if (err instanceof FailureError) {
                throw err;
            }
            return throwStoreFailure(verdictOfError(err), headTimeout.signal.aborted ? `no answer within ${headTimeoutMs} ms` : reasonOf(err));
        }
        finally {
            clearTimeout(headTimer);
        }
    }

    /** Whether the store has been restored since an era. */
    private hasEnded(era: number): boolean {
        return this.era !== undefined && era < this.era;
    }

    private onEra(era: number): void {
        if (this.era === undefined || era > this.era) {
            emit(EventId.StoreEraChanged, { era, before: this.era });
            this.era = era;
            this.eraEnd.abort();
            this.eraEnd = new AbortController();
        }
    }
}

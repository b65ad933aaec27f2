import type { Dispatcher } from "undici";
import { Agent, request } from "undici";
import { FailureError } from "../core/failures";
import { FailureKind } from "../types/failureKind";
import type { ObjectStore } from "../types/objectStore";
import type { CommitResult, Table, TableCommit, TableRow } from "../types/table";
import { Verdict } from "../types/verdict";
import type { Vm, VmList } from "../types/vm";
import { createPunctualConnector } from "../utils/punctualConnector";
import { errorCodeOf, readAnswerText, verdictOfError } from "../utils/transport";

const connectTimeoutMs = 1_000;
const answerTimeoutMs = 3_000;
/** Maximum size of an answer; the largest are configuration snapshots. */
const maxAnswerBytes = 67_108_864;

const raiseUnavailable = (service: string, verdict: Verdict, cause: string): never => {
    throw FailureError.create({ kind: FailureKind.TableUnavailable, verdict, detail: `${service}: ${cause}`, retryAfterMs: 2_000 });
};

interface InfrastructureAnswer {
    readonly status: number;
    readonly value: unknown;
    readonly etag: string | undefined;
}

const notModified = 304;

/** A JSON client of a service that standalone nodes depend on: table, object store or VM list. */
class InfrastructureClient {
    private readonly agent: Dispatcher = new Agent({
        connect: createPunctualConnector({ timeout: connectTimeoutMs }),
        headersTimeout: answerTimeoutMs,
        bodyTimeout: answerTimeoutMs,
        connections: 8,
    });

    private constructor(private readonly service: string, private readonly url: string) {}

    static create(service: string, url: string): InfrastructureClient {
        return new InfrastructureClient(service, url);
    }

    /** Sends a request; throws a failure whose verdict says whether the request may have taken effect. */
    async call(method: "GET" | "POST" | "PUT", path: string, body?: unknown, headers: Readonly<Record<string, string>> = {}): Promise<InfrastructureAnswer> {
        try {
            const res = await request(`${this.url}${path}`, {
                method,
                dispatcher: this.agent,
                headers: { ...headers, "content-type": "application/json" },
                body: body === undefined ? undefined : JSON.stringify(body),
                // Bounds the whole request: a connection may be established without any answer arriving.
                signal: AbortSignal.timeout(connectTimeoutMs + answerTimeoutMs),
            });
            const text = await readAnswerText(res.body, { maxBytes: maxAnswerBytes, timeoutMs: answerTimeoutMs });
            if (res.statusCode >= 500) {
                // With status 503 the service itself refused the request, which had no effect; after any other failure the effect is unknown.
                const refused = res.statusCode === 503;
                return raiseUnavailable(this.service, refused ? Verdict.NotRun : Verdict.MayHaveRun, `status ${res.statusCode}`);
            }
            const etag = res.headers.etag;
            return { status: res.statusCode, value: text === "" ? undefined : JSON.parse(text), etag: Array.isArray(etag) ? etag[0] : etag };
        }
        catch (err) {
            if (err instanceof FailureError) {
                throw err;
            }
            return raiseUnavailable(this.service, verdictOfError(err), errorCodeOf(err));
        }
    }
}

/** Creates an HTTP client of the table service. */
export const createTableClient = (url: string): Table => {
    const client = InfrastructureClient.create("table", url);
    return {
        read: async key => (await client.call("GET", `/rows/${encodeURIComponent(key)}`)).value as TableRow | undefined,
        list: async (prefix, after = "", limit = 1_000) => {
            const query = new URLSearchParams({ prefix, after, limit: String(limit) });
            return (await client.call("GET", `/rows?${query.toString()}`)).value as TableRow[];
        },
        commit: async (commit: TableCommit) => (await client.call("POST", "/commits", commit)).value as CommitResult,
    };
};

/** Creates an HTTP client of the object store. */
export const createObjectStoreClient = (url: string): ObjectStore => {
    const client = InfrastructureClient.create("object store", url);
    return {
        get: async name => {
            const res = await client.call("GET", `/objects/${encodeURIComponent(name)}`);
            return res.status === 404 ? undefined : res.value;
        },
        put: async (name, value) => void await client.call("PUT", `/objects/${encodeURIComponent(name)}`, value),
    };
};

/** Creates an HTTP client of the VM list. The list is long and rarely changes: it is read conditionally if the service sends an ETag. */
export const createVmListClient = (url: string): VmList => {
    const client = InfrastructureClient.create("VM list", url);
    let lastList: readonly Vm[] = [];
    let etag: string | undefined;
    return {
        list: async () => {
            const answer = await client.call("GET", "/vms", undefined, etag === undefined ? {} : { "if-none-match": etag });
            if (answer.status !== notModified) {
                lastList = answer.value as Vm[];
                etag = answer.etag;
            }
            return lastList;
        },
    };
};

import type { Dispatcher } from "undici";
import { Agent, request } from "undici";
import { FailureError } from "../core/failures";
import { FailureKind } from "../types/failureKind";
import type { ObjectStore } from "../types/objectStore";
import type { CommitResult, Table, TableCommit, TableRow } from "../types/table";
import { Verdict } from "../types/verdict";
import type { Vm, VmList } from "../types/vm";
import { errorCodeOf, verdictOfError } from "../utils/transport";

const connectTimeoutMs = 1_000;
const answerTimeoutMs = 3_000;

const raiseUnavailable = (service: string, verdict: Verdict, cause: string): never => {
    throw FailureError.create({ kind: FailureKind.TableUnavailable, verdict, detail: `${service}: ${cause}`, retryAfterMs: 2_000 });
};

interface PlatformAnswer {
    readonly status: number;
    readonly value: unknown;
    readonly etag: string | undefined;
}

const notModified = 304;

/** A JSON client of the platform's services. */
class PlatformClient {
    private readonly agent: Dispatcher = new Agent({
        connect: { timeout: connectTimeoutMs },
        headersTimeout: answerTimeoutMs,
        bodyTimeout: answerTimeoutMs,
        connections: 8,
    });

    private constructor(private readonly service: string, private readonly url: string) {}

    static create(service: string, url: string): PlatformClient {
        return new PlatformClient(service, url);
    }

    /** Sends a request; throws a failure whose verdict says whether it may have taken effect. */
    async call(method: "GET" | "POST" | "PUT", path: string, body?: unknown, headers: Readonly<Record<string, string>> = {}): Promise<PlatformAnswer> {
        try {
            const res = await request(`${this.url}${path}`, {
                method,
                dispatcher: this.agent,
                headers: { ...headers, "content-type": "application/json" },
                body: body === undefined ? undefined : JSON.stringify(body),
                // A connection can be made and the answer never come: this bounds the whole.
                signal: AbortSignal.timeout(connectTimeoutMs + answerTimeoutMs),
            });
            const text = await res.body.text();
            if (res.statusCode >= 500) {
                // The service's own refusal says that nothing took effect; any other failure leaves it open.
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

/** The platform's table service over HTTP. */
export const createTableClient = (url: string): Table => {
    const client = PlatformClient.create("table", url);
    return {
        read: async key => (await client.call("GET", `/rows/${encodeURIComponent(key)}`)).value as TableRow | undefined,
        list: async (prefix, after = "", limit = 1_000) => {
            const query = new URLSearchParams({ prefix, after, limit: String(limit) });
            return (await client.call("GET", `/rows?${query.toString()}`)).value as TableRow[];
        },
        commit: async (commit: TableCommit) => (await client.call("POST", "/commits", commit)).value as CommitResult,
    };
};

/** The platform's object store over HTTP. */
export const createObjectStoreClient = (url: string): ObjectStore => {
    const client = PlatformClient.create("object store", url);
    return {
        get: async name => {
            const res = await client.call("GET", `/objects/${encodeURIComponent(name)}`);
            return res.status === 404 ? undefined : res.value;
        },
        put: async (name, value) => void await client.call("PUT", `/objects/${encodeURIComponent(name)}`, value),
    };
};

/** The platform's VM list over HTTP. The list is long and seldom changes: it is read conditionally where the service gives an ETag. */
export const createVmListClient = (url: string): VmList => {
    const client = PlatformClient.create("VM list", url);
    let last: readonly Vm[] = [];
    let etag: string | undefined;
    return {
        list: async () => {
            const answer = await client.call("GET", "/vms", undefined, etag === undefined ? {} : { "if-none-match": etag });
            if (answer.status !== notModified) {
                last = answer.value as Vm[];
                etag = answer.etag;
            }
            return last;
        },
    };
};

import { z } from "zod";
import { RecordKind } from "../types/config";

/** Newest schema version that this program supports. */
export const newestSchemaVersion = 2;

/** Priority of a caller's requests, highest first. */
export enum Priority {
    High = "high",
    Normal = "normal",
    Low = "low",
}

const name = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$/, "1 to 128 letters, digits, '.', '_' or '-', the first a letter or digit");
const sha256Hex = z.string().regex(/^[0-9a-f]{64}$/, "a SHA-256 digest in lower-case hexadecimal");
const memoryMiB = z.number().int().positive().max(16_777_216);
const version = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/, "1 to 64 letters, digits, '.', '_' or '-'");
const head = { schemaVersion: z.literal(2), name };

const modelRecord = z.looseObject({
    ...head,
    kind: z.literal(RecordKind.Model),
    version,
    memoryMiB,
    deployment: name,
    minCopies: z.number().int().min(1).max(64).default(1),
    target: name.optional(),
});
const adapterRecord = z.looseObject({ ...head, kind: z.literal(RecordKind.Adapter), version, memoryMiB, model: name });
const callerRecord = z.looseObject({
    ...head,
    kind: z.literal(RecordKind.Caller),
    keyHashes: z.array(sha256Hex).min(1).max(16),
    priority: z.enum(Priority).default(Priority.Normal),
    models: z.array(name).optional(),
    services: z.array(name).optional(),
});
const serviceCall = z.looseObject({ method: z.enum(["GET", "POST", "PUT", "PATCH", "DELETE"]), path: z.string().startsWith("/"), repeatable: z.boolean() });
const serviceRecord = z.looseObject({ ...head, kind: z.literal(RecordKind.Service), calls: z.array(serviceCall).max(256).default([]) });
const deploymentRecord = z.looseObject({
    ...head,
    kind: z.literal(RecordKind.Deployment),
    checksFence: z.boolean(),
    acceleratorCost: z.number().positive().default(1),
});
const targetRecord = z.looseObject({
    ...head,
    kind: z.literal(RecordKind.Target),
    firstTokenMs: z.number().positive().max(600_000),
    betweenTokensMs: z.number().positive().max(600_000),
});

export type ModelRecord = z.infer<typeof modelRecord>;
export type AdapterRecord = z.infer<typeof adapterRecord>;
export type CallerRecord = z.infer<typeof callerRecord>;
export type ServiceRecord = z.infer<typeof serviceRecord>;
export type DeploymentRecord = z.infer<typeof deploymentRecord>;
export type TargetRecord = z.infer<typeof targetRecord>;
export type CurrentRecord = ModelRecord | AdapterRecord | CallerRecord | ServiceRecord | DeploymentRecord | TargetRecord;

/** A record as an operator wrote it, in any schema version and including unknown fields. */
export type RawRecord = Readonly<Record<string, unknown>>;

/** A validation fault of a record and the path of the field. */
export interface RecordFault {
    readonly path: string;
    readonly message: string;
}

/** Result of parsing a record. */
export type RecordParseResult =
    | { readonly ok: true; readonly record: CurrentRecord; }
    | { readonly ok: false; readonly faults: readonly RecordFault[]; };

const schemas: Readonly<Record<RecordKind, z.ZodType<CurrentRecord>>> = {
    [RecordKind.Model]: modelRecord,
    [RecordKind.Adapter]: adapterRecord,
    [RecordKind.Caller]: callerRecord,
    [RecordKind.Service]: serviceRecord,
    [RecordKind.Deployment]: deploymentRecord,
    [RecordKind.Target]: targetRecord,
};

const bytesPerMiB = 1_048_576;
/** Maps a priority of schema version 1, which was a number: 0 to 3 low, 4 to 6 normal, 7 to 9 high. */
const priorityOfNumber = (value: unknown): unknown => {
    if (typeof value !== "number") {
        return value;
    }
    if (value >= 7) {
        return Priority.High;
    }
    return value >= 4 ? Priority.Normal : Priority.Low;
};
const upgradeMemory = ({ memoryBytes, ...rest }: RawRecord): RawRecord => ({
    ...rest,
    memoryMiB: typeof memoryBytes === "number" ? Math.ceil(memoryBytes / bytesPerMiB) : memoryBytes,
});
const keepFields = (record: RawRecord): RawRecord => record;

/** Upgrades from schema version 1 to version 2, by kind. */
const upgradeFromV1: Readonly<Record<RecordKind, (record: RawRecord) => RawRecord>> = {
    [RecordKind.Model]: upgradeMemory,
    [RecordKind.Adapter]: upgradeMemory,
    [RecordKind.Caller]: record => record.priority === undefined ? record : { ...record, priority: priorityOfNumber(record.priority) },
    [RecordKind.Service]: ({ calls, ...rest }) => ({
        ...rest,
        // Schema version 1 listed only the repeatable calls, as "METHOD /path".
        calls: Array.isArray(calls) ? calls.map(upgradeCall) : calls,
    }),
    [RecordKind.Deployment]: keepFields,
    [RecordKind.Target]: keepFields,
};
const upgradeCall = (call: unknown): unknown => {
    if (typeof call !== "string") {
        return call;
    }
    const [method, path] = call.split(" ");
    return { method, path, repeatable: true };
};

const isRecordKind = (kind: unknown): kind is RecordKind => Object.values(RecordKind).includes(kind as RecordKind);

/** Parses a record of any known schema version and upgrades it to the newest one. */
export const parseRecord = (raw: unknown): RecordParseResult => {
    if (typeof raw !== "object" || raw === undefined || !raw || Array.isArray(raw)) {
        return { ok: false, faults: [{ path: "", message: "must be an object" }] };
    }
    const record = raw as RawRecord;
    if (!isRecordKind(record.kind)) {
        return { ok: false, faults: [{ path: "kind", message: `must be one of ${Object.values(RecordKind).join(", ")}` }] };
    }
    const schemaVersion = record.schemaVersion;
    if (typeof schemaVersion !== "number" || !Number.isInteger(schemaVersion) || schemaVersion < 1) {
        return { ok: false, faults: [{ path: "schemaVersion", message: `a whole number from 1 to ${newestSchemaVersion}` }] };
    }
    const upgraded = schemaVersion === 1 ? upgradeFromV1[record.kind](record) : record;
    // A newer schema version is parsed as the newest known one: added fields are accepted, other differences are reported as faults.
    const result = schemas[record.kind].safeParse({ ...upgraded, schemaVersion: newestSchemaVersion });
    if (!result.success) {
        return { ok: false, faults: result.error.issues.map(issue => ({ path: issue.path.join("."), message: issue.message })) };
    }
    return { ok: true, record: result.data };
};

/** Like `parseRecord`, for records that an operator submits: schema versions newer than this program supports are rejected. */
export const validateRecord = (raw: unknown): RecordParseResult => {
    const result = parseRecord(raw);
    const schemaVersion = (raw as RawRecord | undefined)?.schemaVersion;
    if (result.ok && typeof schemaVersion === "number" && schemaVersion > newestSchemaVersion) {
        return { ok: false, faults: [{ path: "schemaVersion", message: `a whole number from 1 to ${newestSchemaVersion}` }] };
    }
    return result;
};

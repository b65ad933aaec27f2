import { z } from "zod";
import type { RowName, RowPut, StoredRow, VersionedRows } from "../types/rowStore";
import type { StoreVersion } from "../types/storeVersion";
import { absentVersionIn } from "../types/storeVersion";

/** Table of what nodes must know to take streams up at the software version that began them. */
export const streamTable = "jackdawtrail-streams";

const basePrefix = "base/";
const nodePrefix = "node/";

const baseSchema = z.object({ version: z.string() });
const nodeSchema = z.object({ writtenAt: z.number(), streams: z.record(z.string(), z.string()) });

/** The version of a service that began all streams without a record. */
export interface BaseVersion {
    readonly version: string;
    readonly rowVersion: StoreVersion;
}

/** The table at one time. */
export interface StreamTable {
    readonly bases: ReadonlyMap<string, BaseVersion>;
    /** Versions of recorded streams by request; more than one if nodes contradict each other. */
    readonly streams: ReadonlyMap<string, ReadonlySet<string>>;
    /** Rows of nodes, with the time of day at which they were written. */
    readonly nodeRows: readonly { readonly name: RowName; readonly version: StoreVersion; readonly writtenAt: number; }[];
    readonly version: StoreVersion;
}

/** Name of the row that holds a service's base version. */
export const baseRowName = (service: string): RowName => ({ table: streamTable, part: "", key: `${basePrefix}${service}` });
/** Name of the row that holds the streams which a node recorded. */
export const nodeRowName = (nodeId: string): RowName => ({ table: streamTable, part: "", key: `${nodePrefix}${nodeId}` });

export const encodeBase = (service: string, version: string): RowPut => ({
    ...baseRowName(service),
    value: Buffer.from(JSON.stringify({ version })),
});

export const encodeStreams = (nodeId: string, streams: Readonly<Record<string, string>>): RowPut => ({
    ...nodeRowName(nodeId),
    value: Buffer.from(JSON.stringify({ writtenAt: Date.now(), streams })),
});

const parse = <T>(schema: z.ZodType<T>, { key, value }: StoredRow): T => {
    const result = schema.safeParse(JSON.parse(String(value)));
    if (!result.success) {
        throw new Error(`row ${key} of table ${streamTable} is not valid`);
    }
    return result.data;
};

/** Streams that a row of a node holds. */
export const decodeStreams = (row: StoredRow): Readonly<Record<string, string>> => parse(nodeSchema, row).streams;

/** Decodes the table; throws if a row is not valid, as nothing can then be said of a stream without a record. */
export const decodeStreamTable = ({ rows, version }: VersionedRows): StreamTable => {
    const bases = new Map<string, BaseVersion>();
    const streams = new Map<string, Set<string>>();
    const nodeRows: StreamTable["nodeRows"][number][] = [];
    for (const row of rows) {
        if (row.key.startsWith(basePrefix)) {
            bases.set(row.key.slice(basePrefix.length), { version: parse(baseSchema, row).version, rowVersion: row.version });
        }
        else if (row.key.startsWith(nodePrefix)) {
            const { writtenAt, streams: recorded } = parse(nodeSchema, row);
            nodeRows.push({ name: { table: row.table, part: row.part, key: row.key }, version: row.version, writtenAt });
            for (const [requestId, softwareVersion] of Object.entries(recorded)) {
                streams.set(requestId, (streams.get(requestId) ?? new Set()).add(softwareVersion));
            }
        }
    }
    return { bases, streams, nodeRows, version };
};

/** Version of a row that may be absent, for a condition. */
export const rowVersionOf = (table: StreamTable, name: RowName): StoreVersion =>
    table.nodeRows.find(row => row.name.key === name.key)?.version ?? absentVersionIn(table.version);

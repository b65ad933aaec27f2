import type { RowStore } from "../types/rowStore";
import type { StoreVersion } from "../types/storeVersion";
import type { ServiceVersions } from "./serviceVersions";
import type { StreamTable } from "./streamTable";

/** The base version is replaced once it has had no upstream for this multiple of the time for which streams may be taken up. */
const baseRetirementFactor = 2;
/** Rows of nodes that have not been written for this long are removed: their streams have ended. */
const nodeRowLifetimeMs = 600_000;
/** Rows that are removed in one transaction. */
const maxRemovedRows = 50;
/** Interval at which the table is read for its maintenance, once nodes have recorded streams. */
const readIntervalMs = 60_000;

/** The table as a node knows it. */
interface MaintainedTable {
    readonly table: StreamTable | undefined;
    readonly tableAgeMs: number;
    readonly versions: ServiceVersions;
    readTable(): Promise<StreamTable>;
    writeBase(service: string, version: string, expected: StoreVersion, reason: string): Promise<void>;
}

/** Replaces base versions that have been gone for so long that no stream of theirs can be taken up. */
const retireBases = async (streams: MaintainedTable, streamLifetimeMs: number): Promise<void> => {
    const { table, versions } = streams;
    for (const [service, { version, rowVersion }] of table?.bases ?? []) {
        const [next, ...others] = versions.of(service);
        const isRetired = versions.absentMs(service, version) > baseRetirementFactor * streamLifetimeMs;
        if (isRetired && next !== undefined && others.length === 0) {
            await streams.writeBase(service, next, rowVersion, "retired");
        }
    }
};

/** Removes what is no longer needed: base versions that have left, and rows of nodes that have not recorded a stream for long. */
export const maintainStreamTable = async (store: RowStore, streams: MaintainedTable, streamLifetimeMs: number): Promise<void> => {
    if (!streams.table) {
        return;
    }
    if (streams.table.nodeRows.length > 0 && streams.tableAgeMs > readIntervalMs) {
        await streams.readTable();
    }
    await retireBases(streams, streamLifetimeMs);
    const expired = streams.table.nodeRows.filter(({ writtenAt }) => writtenAt < Date.now() - nodeRowLifetimeMs).slice(0, maxRemovedRows);
    if (expired.length > 0) {
        await store.transact({
            conditions: expired.map(({ name, version }) => ({ ...name, version })),
            puts: [],
            removes: expired.map(({ name }) => name),
        });
        await streams.readTable();
    }
};

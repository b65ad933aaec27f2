import type { ConfigChange, ConfigHead } from "../types/config";
import type { Table } from "../types/table";
import { changeKey, changePrefix, headKey, recordPrefix } from "./configKeys";
import type { ConfigSnapshot, ConfigStore } from "./configStore";

/** Page size when reading the change feed. */
const changesPerRead = 200;
/** A node that is further behind reads a full snapshot instead of the change feed. */
const maxChangesBehind = 2_000;
const rowsPerRead = 500;

const readHead = async (table: Table): Promise<number> => ((await table.read(headKey))?.value as ConfigHead | undefined)?.sequence ?? 0;

/** Reads all records. The head is read first, so that changes committed during the listing are picked up from the change feed later. */
export const readSnapshot = async (table: Table): Promise<ConfigSnapshot> => {
    const sequence = await readHead(table);
    const records: ConfigChange[] = [];
    let after: string | undefined;
    for (;;) {
        const rows = await table.list(recordPrefix, after, rowsPerRead);
        records.push(...rows.map(row => row.value as ConfigChange));
        after = rows.at(-1)?.key;
        if (rows.length < rowsPerRead) {
            return { sequence, records: records.filter(change => change.record) };
        }
    }
};

/** Brings the store up to date with the table's head; returns the number of changes applied. */
export const syncConfigStore = async (table: Table, store: ConfigStore): Promise<number> => {
    const head = await readHead(table);
    const behind = head - store.sequence;
    if (behind <= 0) {
        return 0;
    }
    if (store.sequence === 0 || behind > maxChangesBehind) {
        const snapshot = await readSnapshot(table);
        return store.replace(snapshot) ? behind : 0;
    }
    let applied = 0;
    while (store.sequence < head) {
        const rows = await table.list(changePrefix, changeKey(store.sequence), changesPerRead);
        const advanced = store.applyChanges(rows.map(row => row.value as ConfigChange));
        if (advanced === 0) {
            break;
        }
        applied += advanced;
    }
    return applied;
};

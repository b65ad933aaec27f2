import { readFile } from "node:fs/promises";
import { text } from "node:stream/consumers";
import { validateEdits } from "../core/configWriter";
import type { RawRecord } from "../core/recordSchemas";
import type { RecordEdit } from "../types/config";

/** Reads records from files, or from standard input for `-`; a file contains one record or a list of records. */
export const readRecordFiles = async (files: readonly string[]): Promise<readonly RawRecord[]> => {
    const records: RawRecord[] = [];
    for (const file of files) {
        const content = file === "-" ? await text(process.stdin) : await readFile(file, "utf8");
        const value = JSON.parse(content) as RawRecord | RawRecord[];
        records.push(...(Array.isArray(value) ? value : [value]));
    }
    return records;
};

/** Validates records as a node does; throws a failure that lists the path of each error. */
export const validateRecords = (records: readonly RawRecord[]): void =>
    validateEdits(records.map(record => ({ kind: record.kind, name: record.name, record } as RecordEdit)));

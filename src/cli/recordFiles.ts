import { readFile } from "node:fs/promises";
import { text } from "node:stream/consumers";
import { checkEdits } from "../core/configWriter";
import type { AnyRecord } from "../core/schemas";
import type { RecordEdit } from "../types/config";

/** Reads records from files, `-` for standard input; a file holds one record or a list. */
export const readRecordFiles = async (files: readonly string[]): Promise<readonly AnyRecord[]> => {
    const records: AnyRecord[] = [];
    for (const file of files) {
        const content = file === "-" ? await text(process.stdin) : await readFile(file, "utf8");
        const value = JSON.parse(content) as AnyRecord | AnyRecord[];
        records.push(...(Array.isArray(value) ? value : [value]));
    }
    return records;
};

/** Checks records as a node would; throws a failure that lists the path of each fault. */
export const checkRecords = (records: readonly AnyRecord[]): void =>
    checkEdits(records.map(record => ({ kind: record.kind, name: record.name, record } as RecordEdit)));

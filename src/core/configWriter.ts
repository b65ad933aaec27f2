import type { ConfigChange, ConfigHead, RecordEdit } from "../types/config";
import { RecordKind } from "../types/config";
import { FailureKind } from "../types/failureKind";
import type { Table, TableCondition, TableRow, TableWrite } from "../types/table";
import { CommitKind } from "../types/table";
import { Verdict } from "../types/verdict";
import { changeKey, headKey, operationKey, recordKey } from "./configKeys";
import { FailureError, raise, toFailure } from "./failures";
import type { RecordFault } from "./recordSchemas";
import { validateRecord } from "./recordSchemas";

/** Attempts of one write before the operator is told that its outcome is not known. */
const maxAttempts = 8;

/** Outcome of an operation, kept in the table under the operation's ID. */
export interface Operation {
    readonly operationId: string;
    readonly firstSequence: number;
    readonly sequence: number;
}

/** Refuses edits with faults, whole, with the path of each fault. */
export const validateEdits = (edits: readonly RecordEdit[]): void => {
    const faults: RecordFault[] = [];
    const seen = new Set<string>();
    edits.forEach((edit, index) => {
        const path = (rest: string) => `records.${index}${rest ? `.${rest}` : ""}`;
        const key = recordKey(edit);
        if (seen.has(key)) {
            faults.push({ path: path(""), message: `${edit.kind}/${edit.name} appears twice` });
        }
        seen.add(key);
        if (edit.record) {
            const reading = validateRecord(edit.record);
            if (!reading.ok) {
                faults.push(...reading.faults.map(fault => ({ ...fault, path: path(fault.path) })));
            }
        }
        else if (!Object.values(RecordKind).includes(edit.kind)) {
            faults.push({ path: path("kind"), message: `one of ${Object.values(RecordKind).join(", ")}` });
        }
    });
    if (edits.length === 0) {
        faults.push({ path: "records", message: "at least one record" });
    }
    if (faults.length > 0) {
        raise(FailureKind.BadRecord, faults.map(fault => `${fault.path}: ${fault.message}`).join("; "), Verdict.NotRun, { members: { faults } });
    }
};

interface Plan {
    readonly conditions: readonly TableCondition[];
    readonly writes: readonly TableWrite[];
    readonly operation: Operation;
}

const versionOf = (row: TableRow | undefined): number => row?.version ?? 0;
const changeOf = (row: TableRow | undefined): ConfigChange | undefined => row?.value as ConfigChange | undefined;
const revisionOf = (row: TableRow | undefined): number => {
    const change = changeOf(row);
    return change?.record ? change.sequence : 0;
};

const planEdits = async (table: Table, edits: readonly RecordEdit[], operationId: string, now: number): Promise<Plan> => {
    const [headRow, ...rows] = await Promise.all([table.read(headKey), ...edits.map(edit => table.read(recordKey(edit)))]);
    const first = ((headRow?.value as ConfigHead | undefined)?.sequence ?? 0) + 1;
    const conditions: TableCondition[] = [{ key: headKey, version: versionOf(headRow) }];
    const writes: TableWrite[] = [];
    edits.forEach((edit, index) => {
        const row = rows[index];
        const revision = revisionOf(row);
        if (!edit.record && revision === 0) {
            raise(FailureKind.UnknownRecord, `${edit.kind}/${edit.name}`);
        }
        if (edit.base !== undefined && edit.base !== revision) {
            raise(FailureKind.RevisionConflict, `${edit.kind}/${edit.name} is at revision ${revision}, not ${edit.base}`, Verdict.NotRun, {
                members: { revision, winner: changeOf(row) },
            });
        }
        const change: ConfigChange = { kind: edit.kind, name: edit.name, sequence: first + index, operationId, at: now, record: edit.record };
        conditions.push({ key: recordKey(edit), version: versionOf(row) });
        writes.push({ key: recordKey(edit), value: change }, { key: changeKey(change.sequence), value: change });
    });
    const operation = { operationId, firstSequence: first, sequence: first + edits.length - 1 };
    writes.push({ key: headKey, value: { sequence: operation.sequence } satisfies ConfigHead }, { key: operationKey(operationId), value: operation });
    return { conditions: [...conditions, { key: operationKey(operationId), version: 0 }], writes, operation };
};

const findOperation = async (table: Table, operationId: string): Promise<Operation | undefined> =>
    (await table.read(operationKey(operationId)))?.value as Operation | undefined;

/**
 * Commits edits as one transaction. The operation ID makes the call idempotent: a lost answer is resolved by reading the operation's row, and
 * a repeat with the same ID returns the first outcome.
 */
export const commitEdits = async (table: Table, edits: readonly RecordEdit[], operationId: string): Promise<Operation> => {
    validateEdits(edits);
    let mayHaveRun = false;
    for (let attempt = 0; attempt < maxAttempts; attempt++) {
        try {
            const done = await findOperation(table, operationId);
            if (done) {
                return done;
            }
            const plan = await planEdits(table, edits, operationId, Date.now());
            const result = await table.commit(plan);
            if (result.kind === CommitKind.Committed) {
                return plan.operation;
            }
        }
        catch (err) {
            const failure = toFailure(err);
            if (failure.kind !== FailureKind.TableUnavailable) {
                // After an unanswered commit, a conflict may be with this very operation's late write.
                const late = mayHaveRun ? await findOperation(table, operationId) : undefined;
                if (late) {
                    return late;
                }
                throw err;
            }
            mayHaveRun ||= failure.verdict === Verdict.MayHaveRun;
        }
    }
    throw FailureError.create({
        kind: FailureKind.TableUnavailable,
        verdict: mayHaveRun ? Verdict.MayHaveRun : Verdict.NotRun,
        detail: `operation ${operationId} has no known outcome; repeat it with the same operation ID`,
        members: { operationId },
    });
};

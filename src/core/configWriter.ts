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

/** Attempts of one commit before it fails with an unknown outcome. */
const maxAttempts = 8;

/** Outcome of a committed operation, stored in the table under the operation ID. */
export interface Operation {
    readonly operationId: string;
    readonly firstSequence: number;
    readonly sequence: number;
}

/** Rejects all edits if any of them is invalid; the failure lists each fault with its path. */
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
            const result = validateRecord(edit.record);
            if (!result.ok) {
                faults.push(...result.faults.map(fault => ({ ...fault, path: path(fault.path) })));
            }
        }
        else if (!Object.values(RecordKind).includes(edit.kind)) {
            faults.push({ path: path("kind"), message: `must be one of ${Object.values(RecordKind).join(", ")}` });
        }
    });
    if (edits.length === 0) {
        faults.push({ path: "records", message: "must hold at least one record" });
    }
    if (faults.length > 0) {
        raise(FailureKind.BadRecord, faults.map(fault => `${fault.path}: ${fault.message}`).join("; "), Verdict.NotRun, { members: { faults } });
    }
};

interface EditTransaction {
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

const buildTransaction = async (table: Table, edits: readonly RecordEdit[], operationId: string, now: number): Promise<EditTransaction> => {
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
 * Commits edits as one transaction. The operation ID makes the call idempotent: after a lost answer the operation's row is read to find out
 * whether the commit took effect, and a retry with the same ID returns the first outcome.
 */
export const commitEdits = async (table: Table, edits: readonly RecordEdit[], operationId: string): Promise<Operation> => {
    validateEdits(edits);
    let mayHaveRun = false;
    for (let attempt = 0; attempt < maxAttempts; attempt++) {
        try {
            const earlierOutcome = await findOperation(table, operationId);
            if (earlierOutcome) {
                return earlierOutcome;
            }
            const transaction = await buildTransaction(table, edits, operationId, Date.now());
            const result = await table.commit(transaction);
            if (result.kind === CommitKind.Committed) {
                return transaction.operation;
            }
        }
        catch (err) {
            const failure = toFailure(err);
            if (failure.kind !== FailureKind.TableUnavailable) {
                // After an unanswered commit, the conflict may be with this operation's own write, which took effect late.
                const ownOutcome = mayHaveRun ? await findOperation(table, operationId) : undefined;
                if (ownOutcome) {
                    return ownOutcome;
                }
                throw err;
            }
            mayHaveRun ||= failure.verdict === Verdict.MayHaveRun;
        }
    }
    throw FailureError.create({
        kind: FailureKind.TableUnavailable,
        verdict: mayHaveRun ? Verdict.MayHaveRun : Verdict.NotRun,
        detail: `the outcome of operation ${operationId} is unknown; retry it with the same operation ID`,
        members: { operationId },
    });
};

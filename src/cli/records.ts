import { Command, Option } from "clipanion";
import { randomUUID } from "node:crypto";
import { toFailure } from "../core/failures";
import type { RawRecord } from "../core/recordSchemas";
import { ExitCode } from "./exitCode";
import { OperatorCommand } from "./operatorCommand";
import { readRecordFiles, validateRecords } from "./recordFiles";

interface ListedRecord {
    readonly kind: string;
    readonly name: string;
    readonly revision: number;
    readonly record: RawRecord;
}

const recordPathOf = (kind: string, name: string): string => `/admin/records/${kind}/${encodeURIComponent(name)}`;
const queryStringOf = (entries: Readonly<Record<string, string | undefined>>): string => {
    const query = new URLSearchParams(Object.entries(entries).filter((entry): entry is [string, string] => entry[1] !== undefined));
    return query.size > 0 ? `?${query.toString()}` : "";
};

/** `jackdawtrail records apply`. */
export class RecordsApplyCommand extends OperatorCommand {
    static override paths = [["records", "apply"]];
    static override usage = Command.Usage({
        category: "Records",
        description: "Writes records from files atomically: all or none.",
        examples: [["Write two records and wait until every node has applied them", "jackdawtrail records apply --wait-ms 9000 model.json caller.json"]],
    });
    readonly base = Option.String("--base", { description: "expected current revision of a single record, 0 for a new one" });
    readonly waitMs = Option.String("--wait-ms", {
        description: "maximum time in milliseconds to wait until all live nodes report that they have applied the sequence",
    });
    readonly operationId = Option.String("--operation-id", { description: "makes the command idempotent: retry with the same ID if the answer is lost" });
    readonly files = Option.Rest({ required: 1 });

    override async execute(): Promise<number> {
        const records = await readRecordFiles(this.files);
        const base = this.base === undefined ? undefined : Number(this.base);
        const body = { records: records.map(record => ({ record, base })) };
        const answer = await this.callNode("POST", `/admin/records${queryStringOf({ waitMs: this.waitMs })}`, body, {
            "idempotency-key": this.operationId ?? randomUUID(),
        });
        return this.print(answer, (value: { sequence: number; behind?: readonly string[]; }) => {
            const progress = value.behind === undefined
                ? ""
                : value.behind.length === 0
                ? ", applied on every live node"
                : `, not yet applied on ${value.behind.join(", ")}`;
            return `${records.length} record(s) written, sequence ${value.sequence}${progress}`;
        });
    }
}

/** `jackdawtrail records get`. */
export class RecordsGetCommand extends OperatorCommand {
    static override paths = [["records", "get"]];
    static override usage = Command.Usage({
        category: "Records",
        description: "Prints a record as it was written.",
        examples: [["Print a model", "jackdawtrail records get model wiring-7b"]],
    });
    readonly kind = Option.String();
    readonly name = Option.String();

    override async execute(): Promise<number> {
        return this.print(
            await this.callNode("GET", recordPathOf(this.kind, this.name)),
            (value: ListedRecord) => `revision ${value.revision}\n${JSON.stringify(value.record, undefined, 4)}`,
        );
    }
}

/** `jackdawtrail records list`. */
export class RecordsListCommand extends OperatorCommand {
    static override paths = [["records", "list"]];
    static override usage = Command.Usage({
        category: "Records",
        description: "Lists the current records.",
        examples: [["List the models", "jackdawtrail records list --kind model"]],
    });
    readonly kind = Option.String("--kind", { description: "list only records of this kind" });

    override async execute(): Promise<number> {
        return this.print(
            await this.callNode("GET", `/admin/records${queryStringOf({ kind: this.kind })}`),
            (value: { sequence: number; records: readonly ListedRecord[]; }) =>
                [`sequence ${value.sequence}`, ...value.records.map(({ kind, name, revision }) => `${kind}/${name} revision ${revision}`)].join("\n"),
        );
    }
}

/** `jackdawtrail records history`. */
export class RecordsHistoryCommand extends OperatorCommand {
    static override paths = [["records", "history"]];
    static override usage = Command.Usage({
        category: "Records",
        description: "Prints the changes of a record.",
        examples: [["Print the changes of a model", "jackdawtrail records history model wiring-7b"]],
    });
    readonly kind = Option.String();
    readonly name = Option.String();

    override async execute(): Promise<number> {
        return this.print(
            await this.callNode("GET", `${recordPathOf(this.kind, this.name)}/history`),
            (value: { changes: readonly { sequence: number; at: number; operationId: string; record?: unknown; }[]; }) =>
                value.changes.map(change =>
                    `${change.sequence} ${new Date(change.at).toISOString()} ${change.record ? "written" : "withdrawn"} by operation ${change.operationId}`
                ).join("\n"),
        );
    }
}

/** `jackdawtrail records withdraw`. */
export class RecordsWithdrawCommand extends OperatorCommand {
    static override paths = [["records", "withdraw"]];
    static override usage = Command.Usage({
        category: "Records",
        description: "Withdraws a record.",
        examples: [["Withdraw a model that is at revision 12", "jackdawtrail records withdraw model wiring-7b --base 12"]],
    });
    readonly base = Option.String("--base", { description: "expected current revision" });
    readonly waitMs = Option.String("--wait-ms", {
        description: "maximum time in milliseconds to wait until all live nodes report that they have applied the sequence",
    });
    readonly operationId = Option.String("--operation-id", { description: "makes the command idempotent" });
    readonly kind = Option.String();
    readonly name = Option.String();

    override async execute(): Promise<number> {
        const path = `${recordPathOf(this.kind, this.name)}${queryStringOf({ base: this.base, waitMs: this.waitMs })}`;
        return this.print(
            await this.callNode("DELETE", path, undefined, { "idempotency-key": this.operationId ?? randomUUID() }),
            (value: { sequence: number; }) => `${this.kind}/${this.name} withdrawn, sequence ${value.sequence}`,
        );
    }
}

/** `jackdawtrail records check`. */
export class RecordsCheckCommand extends Command {
    static override paths = [["records", "check"]];
    static override usage = Command.Usage({
        category: "Records",
        description: "Validates records in files without a node.",
        examples: [["Check a file", "jackdawtrail records check model.json"]],
    });
    readonly json = Option.Boolean("--json", false, { description: "print JSON" });
    readonly files = Option.Rest({ required: 1 });

    override async execute(): Promise<number> {
        const records = await readRecordFiles(this.files);
        try {
            validateRecords(records);
        }
        catch (err) {
            const { detail, members } = toFailure(err);
            this.context.stdout.write(this.json ? `${JSON.stringify({ ok: false, ...members })}\n` : `${detail.replaceAll("; ", "\n")}\n`);
            return ExitCode.Usage;
        }
        this.context.stdout.write(this.json ? `${JSON.stringify({ ok: true })}\n` : `${records.length} record(s) are valid\n`);
        return ExitCode.Ok;
    }
}

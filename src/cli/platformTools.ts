import { Command, Option } from "clipanion";
import { readFile } from "node:fs/promises";
import { basename } from "node:path";
import { explainRequest } from "../core/explainRequest";
import { defaultTransportLimits } from "../node/transportLimitSettings";
import { parseSettingsFile } from "../platform/settingsFile";
import { ExitCode } from "./exitCode";

/** `jackdawtrail check-settings`. */
export class CheckSettingsCommand extends Command {
    static override paths = [["check-settings"]];
    static override usage = Command.Usage({
        description: "Validates a settings file of the platform and prints every error.",
        details: "The exit code is 2 if the file has errors.",
        examples: [["Check a file", "jackdawtrail check-settings boot.toml"]],
    });
    readonly file = Option.String({ name: "file" });

    override async execute(): Promise<number> {
        const result = parseSettingsFile(await readFile(this.file, "utf8"), defaultTransportLimits);
        if ("faults" in result) {
            result.faults.forEach(fault => this.context.stdout.write(`${fault}\n`));
            return ExitCode.Usage;
        }
        this.context.stdout.write(`${JSON.stringify(result.settings, undefined, 4)}\n`);
        return ExitCode.Ok;
    }
}

/** `jackdawtrail explain-request`. */
export class ExplainRequestCommand extends Command {
    static override paths = [["explain-request"]];
    static override usage = Command.Usage({
        description: "Prints the log lines of several nodes that concern one request, with the events that may have caused its failure.",
        details: "Each file is the standard output of one node. The request's own lines are marked. The exit code is 1 if no line has its ID.",
        examples: [["Explain a request", "jackdawtrail explain-request 8b6bbbd015143461 frontend-*.log"]],
    });
    readonly requestId = Option.String({ name: "request" });
    readonly files = Option.Rest({ required: 1, name: "log" });

    override async execute(): Promise<number> {
        const logs = new Map(await Promise.all(this.files.map(async file => [basename(file), await readFile(file, "utf8")] as const)));
        const lines = explainRequest(this.requestId, logs);
        lines.forEach(line => this.context.stdout.write(`${line}\n`));
        return lines.length === 0 ? ExitCode.Failed : ExitCode.Ok;
    }
}

import { Command, Option } from "clipanion";
import { readFile } from "node:fs/promises";
import { replayTrace } from "../core/trace";
import { ExitCode } from "./exitCode";

/** `jackdawtrail replay`. */
export class ReplayCommand extends Command {
    static override paths = [["replay"]];
    static override usage = Command.Usage({
        description: "Replays the decisions of a trace and prints the first whose outcome differs from the recorded one.",
        details:
            "A trace is a file that a node wrote with --trace-file: JSON lines with a decision, its input and its outcome. Lines without an outcome are replayed without a comparison. The exit code is 4 if an outcome differs.",
        examples: [["Replay a trace", "jackdawtrail replay node.trace"]],
    });
    readonly json = Option.Boolean("--json", false, { description: "print JSON" });
    readonly file = Option.String({ name: "trace" });

    override async execute(): Promise<number> {
        const result = replayTrace((await readFile(this.file, "utf8")).split("\n"));
        const { difference } = result;
        if (this.json) {
            this.context.stdout.write(`${JSON.stringify(result)}\n`);
        }
        else if (difference) {
            this.context.stdout.write(
                `line ${difference.line}, ${difference.decision}:\nstated ${JSON.stringify(difference.stated)}\nfound  ${JSON.stringify(difference.found)}\n`,
            );
        }
        else {
            this.context.stdout.write(`${result.run} decisions, no difference\n`);
        }
        return difference ? ExitCode.ReplayMismatch : ExitCode.Ok;
    }
}

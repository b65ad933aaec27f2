import { Command, Option } from "clipanion";
import { readFileSync } from "node:fs";
import { PlatformNode } from "../node/platformNode";
import { readSettingsFile } from "../platform/settingsFile";
import { EventId } from "../types/eventId";
import { emit, setupLogs } from "../utils/events";
import { ExitCode } from "./exitCode";

/** `jackdawtrail serve-platform`: runs a node on the platform until SIGTERM or SIGINT. */
export class ServePlatformCommand extends Command {
    static override paths = [["serve-platform"]];
    static override usage = Command.Usage({
        description: "Runs a node on the platform.",
        details: "The platform writes the settings file. Faults in it are all named, and end the program with exit code 2.",
        examples: [["Run a node with the platform's settings", "jackdawtrail serve-platform --settings-file /etc/jackdawtrail/boot.toml"]],
    });

    settingsFile = Option.String("--settings-file", { env: "JACKDAWTRAIL_NODE_FILE", description: "settings file that the platform writes" });

    override async execute(): Promise<number> {
        setupLogs("info", process.stdout);
        if (this.settingsFile === undefined) {
            this.context.stderr.write("--settings-file (JACKDAWTRAIL_NODE_FILE): missing; allowed: a file path\n");
            return ExitCode.Usage;
        }
        const reading = readSettingsFile(readFileSync(this.settingsFile, "utf8"));
        if ("faults" in reading) {
            emit(EventId.SettingsRefused, { file: this.settingsFile, faults: reading.faults });
            reading.faults.forEach(fault => this.context.stderr.write(`${fault}\n`));
            return ExitCode.Usage;
        }
        const node = PlatformNode.create(reading.settings);
        await node.start();
        return new Promise(resolve => {
            const onSignal = (): void => void node.stop().then(cut => resolve(cut > 0 ? ExitCode.CutOff : ExitCode.Ok));
            process.once("SIGTERM", onSignal);
            process.once("SIGINT", onSignal);
        });
    }
}

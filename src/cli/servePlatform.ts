import { Command, Option } from "clipanion";
import { readFileSync } from "node:fs";
import { PlatformNode } from "../node/platformNode";
import { parseSettingsFile } from "../platform/settingsFile";
import { EventId } from "../types/eventId";
import { emit, setupLogs } from "../utils/events";
import { sleep } from "../utils/time";
import { errorCodeOf } from "../utils/transport";
import { ExitCode } from "./exitCode";

/** Pause between two looks at the settings file, which may change without a signal. */
const settingsPollMs = 2_000;

/** Log lines are written together; the last ones need this long. */
const lastLinesMs = 100;

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
        const reading = parseSettingsFile(readFileSync(this.settingsFile, "utf8"));
        if ("faults" in reading) {
            emit(EventId.SettingsRefused, { file: this.settingsFile, faults: reading.faults });
            reading.faults.forEach(fault => this.context.stderr.write(`${fault}\n`));
            return ExitCode.Usage;
        }
        const node = PlatformNode.create(reading.settings);
        this.watchSettings(this.settingsFile, node);
        try {
            await node.start();
        }
        catch (err) {
            emit(EventId.NodeStartFailed, { detail: err instanceof Error ? err.message : errorCodeOf(err) });
            await sleep(lastLinesMs);
            return ExitCode.Failed;
        }
        return new Promise(resolve => {
            const onSignal = (): void => void node.stop().then(cut => resolve(cut > 0 ? ExitCode.RequestsAborted : ExitCode.Ok));
            process.once("SIGTERM", onSignal);
            process.once("SIGINT", onSignal);
        });
    }

    /** Reads the settings again when a signal says so, and when the file has changed without one. */
    private watchSettings(file: string, node: PlatformNode): void {
        let last = readFileSync(file, "utf8");
        const reread = (): void => {
            const text = readFileSync(file, "utf8");
            if (text === last) {
                return;
            }
            last = text;
            const reading = parseSettingsFile(text);
            if ("faults" in reading) {
                emit(EventId.SettingsRefused, { file, faults: reading.faults });
                return;
            }
            node.reload(reading.settings);
        };
        const guarded = (): void => {
            try {
                reread();
            }
            catch (err) {
                emit(EventId.SettingsRefused, { file, faults: [errorCodeOf(err)] });
            }
        };
        process.on("SIGHUP", guarded);
        setInterval(guarded, settingsPollMs).unref();
    }
}

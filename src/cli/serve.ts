import { Command } from "clipanion";
import { readSettings, settingDefinitions } from "../node/standaloneNodeSettings";
import { startStandaloneNode } from "../node/startStandaloneNode";
import { EventId } from "../types/eventId";
import { emit, setupLogs } from "../utils/events";
import { StartStep, startTimes } from "../utils/startTimes";
import { ExitCode } from "./exitCode";
import { addSettingOptions, describeFault, settingValuesOf } from "./settingOptions";
import { surviveUnexpectedErrors } from "./unexpectedErrors";

/** `jackdawtrail serve`: runs a node until SIGTERM or SIGINT. */
export class ServeCommand extends Command {
    static override paths = [["serve"]];
    static override usage = Command.Usage({
        description: "Runs a node.",
        details:
            "Every flag has an environment variable of the same name: --listen is JACKDAWTRAIL_LISTEN. All settings are validated at startup; the exit code is 2 if any is invalid. SIGTERM stops the node gracefully, a second SIGTERM immediately.",
        examples: [["Run a node with settings from the environment", "jackdawtrail serve"], [
            "Listen on another port",
            "jackdawtrail serve --listen 10.0.0.5:9000",
        ]],
    });

    constructor() {
        super();
        addSettingOptions(this, settingDefinitions);
    }

    override async execute(): Promise<number> {
        const result = readSettings(settingValuesOf(this, settingDefinitions));
        if (!result.ok) {
            setupLogs("info");
            emit(EventId.SettingsRefused, { faults: result.faults });
            result.faults.forEach(fault => this.context.stderr.write(`${describeFault(fault)}\n`));
            return ExitCode.Usage;
        }
        setupLogs(result.settings.logLevel);
        surviveUnexpectedErrors();
        startTimes.mark(StartStep.Settings);
        const node = await startStandaloneNode(result.settings);
        return new Promise(resolve => {
            let signalCount = 0;
            const onSignal = () => {
                signalCount++;
                if (signalCount > 1) {
                    resolve(node.terminate() > 0 ? ExitCode.RequestsAborted : ExitCode.Ok);
                    return;
                }
                void node.stop().then(cutOffCount => resolve(cutOffCount > 0 ? ExitCode.RequestsAborted : ExitCode.Ok));
            };
            process.on("SIGTERM", onSignal);
            process.on("SIGINT", onSignal);
        });
    }
}

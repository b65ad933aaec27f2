import { Command } from "clipanion";
import { readSettings, settingDefinitions } from "../node/standaloneNodeSettings";
import { createStandaloneNode } from "../node/startStandaloneNode";
import { EventId } from "../types/eventId";
import { emit, setupLogs } from "../utils/events";
import { StartStep, startTimes } from "../utils/startTimes";
import type { CommandContext } from "./commandContext";
import { ExitCode } from "./exitCode";
import { serveUntilStopped } from "./serveUntilStopped";
import { addSettingOptions, describeFault, settingValuesOf } from "./settingOptions";
import { SignalMeaning } from "./signalMeaning";
import { surviveUnexpectedErrors } from "./unexpectedErrors";

/** `jackdawtrail serve`: runs a node until SIGTERM or SIGINT. */
export class ServeCommand extends Command<CommandContext> {
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
        emit(EventId.ProgramLoaded, { codeCache: this.context.codeCache });
        surviveUnexpectedErrors();
        startTimes.mark(StartStep.Settings);
        const { signals } = this.context;
        signals.listen();
        const ignore = (signal: NodeJS.Signals): void => emit(EventId.SignalIgnored, { signal });
        signals.handle(SignalMeaning.Reload, ignore);
        signals.handle(SignalMeaning.None, ignore);
        const [node, server] = createStandaloneNode(result.settings);
        return serveUntilStopped({ start: () => node.start(server), stop: () => node.stop(), terminate: () => node.terminate() }, signals);
    }
}

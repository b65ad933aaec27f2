import { Command, Option } from "clipanion";
import type { SettingName } from "../node/standaloneNodeSettings";
import { readSettings, settingDefinitions } from "../node/standaloneNodeSettings";
import { startStandaloneNode } from "../node/startStandaloneNode";
import { EventId } from "../types/eventId";
import { emit, setupLogs } from "../utils/events";
import { ExitCode } from "./exitCode";

const settingNames = Object.keys(settingDefinitions) as SettingName[];

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
        for (const name of settingNames) {
            const { flag, env, description, unit, defaultValue } = settingDefinitions[name];
            const help = `${description}${unit && ` [${unit}]`}${defaultValue === undefined ? "" : ` (default ${defaultValue})`}`;
            Object.assign(this, { [name]: Option.String(flag, { env, description: help }) });
        }
    }

    override async execute(): Promise<number> {
        const optionValues = this as unknown as Readonly<Partial<Record<SettingName, string>>>;
        const result = readSettings(Object.fromEntries(settingNames.map(name => [name, optionValues[name]])));
        if (!result.ok) {
            setupLogs("info");
            emit(EventId.SettingsRefused, { faults: result.faults });
            result.faults.forEach(({ name, value, allowed }) =>
                this.context.stderr.write(`${name}: ${value === undefined ? "missing" : JSON.stringify(value)}; allowed: ${allowed}\n`)
            );
            return ExitCode.Usage;
        }
        setupLogs(result.settings.logLevel);
        const node = await startStandaloneNode(result.settings);
        return new Promise(resolve => {
            let signalCount = 0;
            const onSignal = () => {
                signalCount++;
                if (signalCount > 1) {
                    resolve(node.terminate() > 0 ? ExitCode.RequestsAborted : ExitCode.Ok);
                    return;
                }
                void node.stop().then(aborted => resolve(aborted > 0 ? ExitCode.RequestsAborted : ExitCode.Ok));
            };
            process.on("SIGTERM", onSignal);
            process.on("SIGINT", onSignal);
        });
    }
}

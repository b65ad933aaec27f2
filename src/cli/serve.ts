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
            "Every flag has an environment variable of the same name: --listen is JACKDAWTRAIL_LISTEN. All settings are checked at the start; faults end the program with exit code 2. SIGTERM stops the node gracefully, a second one at once.",
        examples: [["Run a node with settings from the environment", "jackdawtrail serve"], [
            "Listen on another port",
            "jackdawtrail serve --listen 10.0.0.5:9000",
        ]],
    });

    constructor() {
        super();
        for (const name of settingNames) {
            const { flag, env, description, unit, defaultValue } = settingDefinitions[name];
            const about = `${description}${unit && ` [${unit}]`}${defaultValue === undefined ? "" : ` (default ${defaultValue})`}`;
            Object.assign(this, { [name]: Option.String(flag, { env, description: about }) });
        }
    }

    override async execute(): Promise<number> {
        const given = this as unknown as Readonly<Partial<Record<SettingName, string>>>;
        const reading = readSettings(Object.fromEntries(settingNames.map(name => [name, given[name]])));
        if (!reading.ok) {
            setupLogs("info");
            emit(EventId.SettingsRefused, { faults: reading.faults });
            reading.faults.forEach(({ name, value, allowed }) =>
                this.context.stderr.write(`${name}: ${value === undefined ? "missing" : JSON.stringify(value)}; allowed: ${allowed}\n`)
            );
            return ExitCode.Usage;
        }
        setupLogs(reading.settings.logLevel);
        const node = await startStandaloneNode(reading.settings);
        return new Promise(resolve => {
            let signals = 0;
            const onSignal = () => {
                signals++;
                if (signals > 1) {
                    resolve(node.terminate() > 0 ? ExitCode.RequestsAborted : ExitCode.Ok);
                    return;
                }
                void node.stop().then(cut => resolve(cut > 0 ? ExitCode.RequestsAborted : ExitCode.Ok));
            };
            process.on("SIGTERM", onSignal);
            process.on("SIGINT", onSignal);
        });
    }
}

import { Command, Option } from "clipanion";
import { readFileSync } from "node:fs";
import { PassingWaits } from "../core/passingWaits";
import { crossZoneDefinitions, readCrossZoneSettings } from "../node/crossZoneSettings";
import { PlatformNodeRun } from "../node/platformNodeRun";
import { readTransportLimits, transportLimitDefinitions } from "../node/transportLimitSettings";
import { parseSettingsFile } from "../platform/settingsFile";
import { EventId } from "../types/eventId";
import type { TransportLimits } from "../types/transportLimits";
import { emit, setupLogs } from "../utils/events";
import { StartStep, startTimes } from "../utils/startTimes";
import { sleep } from "../utils/time";
import { errorCodeOf } from "../utils/transport";
import type { CommandContext } from "./commandContext";
import { ExitCode } from "./exitCode";
import { logFlushMs } from "./logFlushMs";
import { namedFaults } from "./namedFaults";
import type { ProcessSignals } from "./processSignals";
import { readSettingsFile } from "./readSettingsFile";
import { serveUntilStopped } from "./serveUntilStopped";
import { addSettingOptions, describeFault, settingValuesOf } from "./settingOptions";
import { SignalMeaning } from "./signalMeaning";
import { surviveUnexpectedErrors } from "./unexpectedErrors";
import { unlessStopped } from "./unlessStopped";

/** Poll interval for the settings file, which may change without a signal. */
const settingsPollMs = 2_000;

/** Settings that come from flags and variables, and hold until the process ends. */
interface OwnSettings {
    readonly limits: TransportLimits;
    readonly crossZoneMsPerMb: number | undefined;
}

/** `jackdawtrail serve-platform`: runs a node on the platform until SIGTERM or SIGINT. */
export class ServePlatformCommand extends Command<CommandContext> {
    static override paths = [["serve-platform"]];
    static override usage = Command.Usage({
        description: "Runs a node on the platform.",
        details: "The platform writes the settings file. The start waits while it is missing or has errors, which are logged, and while a port is in use.",
        examples: [["Run a node with the platform's settings", "jackdawtrail serve-platform --settings-file /etc/jackdawtrail/boot.toml"]],
    });

    settingsFile = Option.String("--settings-file", { env: "JACKDAWTRAIL_NODE_FILE", description: "settings file that the platform writes" });

    constructor() {
        super();
        addSettingOptions(this, transportLimitDefinitions);
        addSettingOptions(this, crossZoneDefinitions);
    }

    override async execute(): Promise<number> {
        this.context.signals.listen();
        setupLogs("info", process.stdout);
        emit(EventId.ProgramLoaded, { codeCache: this.context.codeCache });
        const errors = surviveUnexpectedErrors();
        if (this.settingsFile === undefined) {
            this.context.stderr.write("--settings-file (JACKDAWTRAIL_NODE_FILE): missing; allowed: a file path\n");
            return ExitCode.Usage;
        }
        const transport = readTransportLimits(settingValuesOf(this, transportLimitDefinitions));
        const crossZone = readCrossZoneSettings(settingValuesOf(this, crossZoneDefinitions));
        if ("faults" in transport || "faults" in crossZone) {
            const faults = [transport, crossZone].flatMap(reading => "faults" in reading ? reading.faults : []);
            emit(EventId.SettingsRefused, { faults });
            faults.forEach(fault => this.context.stderr.write(`${describeFault(fault)}\n`));
            return ExitCode.Usage;
        }
        const { limits } = transport;
        const { crossZoneMsPerMb } = crossZone;
        const { signals } = this.context;
        const stopped = new AbortController();
        const reading = await unlessStopped(readSettingsFile(this.settingsFile, limits, PassingWaits.create(stopped.signal)), signals);
        if (!reading) {
            stopped.abort();
            emit(EventId.NodeStopped, { waitedFor: this.settingsFile });
            await sleep(logFlushMs);
            return ExitCode.Ok;
        }
        startTimes.mark(StartStep.Settings);
        const node = PlatformNodeRun.create({ ...reading.settings, crossZoneMsPerMb }, () => errors.total);
        this.watchSettings(this.settingsFile, reading.text, node, { limits, crossZoneMsPerMb }, signals);
        return serveUntilStopped(node, signals);
    }

    /** Reads the settings again on SIGHUP and when the file has changed without a signal. */
    private watchSettings(file: string, firstText: string, node: PlatformNodeRun, own: OwnSettings, signals: ProcessSignals): void {
        let lastText = firstText;
        const reread = (): void => {
            const text = readFileSync(file, "utf8");
            if (text === lastText) {
                return;
            }
            lastText = text;
            const result = parseSettingsFile(text, own.limits);
            if ("faults" in result) {
                emit(EventId.SettingsRefused, { file, faults: namedFaults(result.faults) });
                return;
            }
            node.reload({ ...result.settings, crossZoneMsPerMb: own.crossZoneMsPerMb });
        };
        const rereadSafely = (): void => {
            try {
                reread();
            }
            catch (err) {
                emit(EventId.SettingsRefused, { file, faults: [errorCodeOf(err)] });
            }
        };
        signals.handle(SignalMeaning.Reload, signal => {
            if (startTimes.lastStep !== StartStep.Started) {
                emit(EventId.SignalBeforeStart, { signal, step: startTimes.lastStep, effect: SignalMeaning.Reload });
            }
            rereadSafely();
        });
        setInterval(rereadSafely, settingsPollMs).unref();
    }
}

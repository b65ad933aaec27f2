import type { CommandClass } from "clipanion";
import { Builtins, Cli } from "clipanion";
import { StartStep, startTimes } from "../utils/startTimes";
import { CodeCacheUse } from "./codeCacheUse";
import type { CommandContext } from "./commandContext";
import { EventsCommand, ExplainCommand, StatusCommand } from "./inspect";
import { CheckSettingsCommand, ExplainRequestCommand } from "./platformTools";
import type { ProcessSignals } from "./processSignals";
import { RecordsApplyCommand, RecordsCheckCommand, RecordsGetCommand, RecordsHistoryCommand, RecordsListCommand, RecordsWithdrawCommand } from "./records";
import { ReplayCommand } from "./replay";
import { ServeCommand } from "./serve";
import { ServePlatformCommand } from "./servePlatform";

const cli = new Cli<CommandContext>({ binaryName: "jackdawtrail", binaryLabel: "jackdawtrail", binaryVersion: "0.1.0" });
[
    Builtins.HelpCommand,
    Builtins.VersionCommand,
    ServeCommand,
    ServePlatformCommand,
    RecordsApplyCommand,
    RecordsGetCommand,
    RecordsListCommand,
    RecordsHistoryCommand,
    RecordsWithdrawCommand,
    RecordsCheckCommand,
    StatusCommand,
    ExplainCommand,
    ReplayCommand,
    EventsCommand,
    CheckSettingsCommand,
    ExplainRequestCommand,
].forEach(command => cli.register(command as CommandClass as CommandClass<CommandContext>));

/** Runs the command that the arguments name, and ends the process with its exit code. */
export const run = async (signals: ProcessSignals, codeCache = CodeCacheUse.None): Promise<void> => {
    startTimes.mark(StartStep.Program);
    const code = await cli.run(process.argv.slice(2), { ...Cli.defaultContext, signals, codeCache });
    // Idle connections would keep the process alive.
    process.exit(process.exitCode ?? code);
};

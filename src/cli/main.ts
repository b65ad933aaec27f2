import "./reloadSignal";
import { Builtins, Cli } from "clipanion";
import { StartStep, startTimes } from "../utils/startTimes";
import { EventsCommand, ExplainCommand, StatusCommand } from "./inspect";
import { CheckSettingsCommand, ExplainRequestCommand } from "./platformTools";
import { RecordsApplyCommand, RecordsCheckCommand, RecordsGetCommand, RecordsHistoryCommand, RecordsListCommand, RecordsWithdrawCommand } from "./records";
import { ReplayCommand } from "./replay";
import { ServeCommand } from "./serve";
import { ServePlatformCommand } from "./servePlatform";

startTimes.mark(StartStep.Program);
const cli = new Cli({ binaryName: "jackdawtrail", binaryLabel: "jackdawtrail", binaryVersion: "0.1.0" });
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
].forEach(command => cli.register(command));

// Idle connections would keep the process alive.
void cli.run(process.argv.slice(2)).then(code => process.exit(process.exitCode ?? code));

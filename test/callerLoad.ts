// Plays callers on kept connections against two nodes as processes, which are stopped in turn, and prints what became of their requests.
import { describeLoad } from "./callerLoad/describeLoad";
import { violations } from "./callerLoad/loadJudge";
import { graceS } from "./callerLoad/loadNode";
import type { LoadOptions } from "./callerLoad/loadOptions";
import { parseLoadOptions } from "./callerLoad/loadOptions";
import { runCallerLoad } from "./callerLoad/runCallerLoad";

const usageExitCode = 2;

const readOptions = (): LoadOptions | undefined => {
    try {
        return parseLoadOptions(process.argv.slice(2));
    }
    catch (err) {
        console.error((err as Error).message);
        return undefined;
    }
};

const options = readOptions();
if (options) {
    const result = await runCallerLoad(options);
    console.log(describeLoad(result, options));
    const isBroken = [...result.byJudgement.keys()].some(judgement => violations.has(judgement)) || result.stopsMs.some(ms => ms > graceS * 1_000)
        || result.nodes.some(({ unexpectedEnds }) => unexpectedEnds.length > 0);
    process.exitCode = isBroken ? 1 : 0;
}
else {
    process.exitCode = usageExitCode;
}

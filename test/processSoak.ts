import { parseArgs } from "node:util";
import { runSoak } from "./processSoak/runSoak";

const { values } = parseArgs({
    options: {
        seed: { type: "string", default: "1" },
        runs: { type: "string", default: "1" },
        seconds: { type: "string", default: "15" },
    },
});
const first = Number(values.seed);
for (let seed = first; seed < first + Number(values.runs); seed++) {
    const { violations, injectedFaults, requestCount, servedCount, resumedCount, plannedCount, endlessCalls, endlessAnswered, logFolder } = await runSoak(
        seed,
        Number(values.seconds),
    );
    console.log(
        `${
            violations.length === 0
                ? "held"
                : "FAILED"
        }: seed ${seed}, ${values.seconds} s, ${servedCount} of ${requestCount} requests served, ${resumedCount} streams resumed, ${injectedFaults.length} faults, ${plannedCount} requests during planned work, ${endlessAnswered} of ${endlessCalls} endless calls answered`,
    );
    if (violations.length > 0) {
        process.exitCode = 1;
        console.log(`  ${violations.slice(0, 10).join("\n  ")}\n  faults: ${injectedFaults.join(", ")}\n  logs: ${logFolder}`);
    }
}

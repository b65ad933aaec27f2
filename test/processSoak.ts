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
    const { violations: broken, injectedFaults: faults, requestCount: asked, servedCount: served, logFolder: folder } = await runSoak(
        seed,
        Number(values.seconds),
    );
    console.log(
        `${broken.length === 0 ? "held" : "FAILED"}: seed ${seed}, ${values.seconds} s, ${served} of ${asked} requests served, ${faults.length} faults`,
    );
    if (broken.length > 0) {
        process.exitCode = 1;
        console.log(`  ${broken.slice(0, 10).join("\n  ")}\n  faults: ${faults.join(", ")}\n  logs: ${folder}`);
    }
}

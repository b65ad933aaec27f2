import { parseArgs } from "node:util";
import { allRuns } from "./runs/allRuns";
import { checkRun } from "./runs/run";

const { values } = parseArgs({
    options: {
        seed: { type: "string", default: "1" },
        steps: { type: "string", default: "100" },
        runs: { type: "string", default: "100" },
        only: { type: "string" },
    },
});
const size = { seed: Number(values.seed), steps: Number(values.steps), runs: Number(values.runs) };
for (const run of allRuns) {
    if (values.only !== undefined && !run.name.includes(values.only)) {
        continue;
    }
    const startedAt = performance.now();
    try {
        await checkRun(run, size);
        console.log(
            `held: ${run.name}; seed ${size.seed}, ${size.runs} runs of up to ${size.steps} steps, ${Math.round((performance.now() - startedAt) / 1_000)} s`,
        );
    }
    catch (err) {
        console.log(`FAILED: ${run.name}; seed ${size.seed}\n${err instanceof Error ? `${err.message}\n${String(err.cause)}` : String(err)}`);
        process.exitCode = 1;
    }
}

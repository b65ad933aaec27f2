import { createRandom } from "../src/utils/random";
import { formatNumber, printTable, summarize } from "./measure";
import { createLeastLoadPolicy, createStaticPolicy, JackdawtrailPolicy } from "./policies";
import type { PolicyResult } from "./policySimulation";
import { PolicySimulation } from "./policySimulation";
import type { Workload } from "./policyWorkloads";
import { drawRequests, Scenario, workloads } from "./policyWorkloads";

const seeds = [1, 2, 3];
const policies = [createStaticPolicy, createLeastLoadPolicy, (workload: Workload) => new JackdawtrailPolicy({ workload })];

const median = (results: readonly PolicyResult[], of: (result: PolicyResult) => number): string => {
    const { median: middle, min: least, max: most } = summarize(results.map(of));
    return `${formatNumber(middle)} (${formatNumber(least)} to ${formatNumber(most)})`;
};

/** Compares the decision code with two baselines on the same requests. */
export const benchPolicy = (args: readonly string[]): void => {
    for (const workload of workloads.filter(({ name }) => args.length === 0 || args[0] === name)) {
        const rows = Object.values(Scenario).filter(scenario => args[1] === undefined || args[1] === scenario).flatMap(scenario =>
            policies.map(create => {
                const policy = create(workload);
                const results = seeds.map(seed =>
                    new PolicySimulation(workload, scenario, createRandom(seed + 100), create(workload)).run(
                        drawRequests(workload, scenario, createRandom(seed)),
                    )
                );
                return [
                    scenario,
                    policy.name,
                    median(results, result => result.attainment),
                    median(results, result => result.attainmentPerAccelerator * 100),
                    median(results, result => result.modelMoves),
                    median(results, result => result.adapterMoves),
                    ["p50", "p95", "p99"].map(name => formatNumber(summarize(results.map(result => result[name as "p50"])).median)).join(" / "),
                    median(results, result => result.refused),
                ];
            })
        );
        printTable(`${workload.name}, seeds ${seeds.join(", ")}, 10 minutes: median (range)`, [
            "scenario",
            "policy",
            "attainment",
            "attainment per 100 accelerators",
            "model moves",
            "adapter moves",
            "first token p50/p95/p99 ms",
            "refused",
        ], rows);
    }
};

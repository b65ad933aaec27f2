import { ConfigStore } from "../src/core/configStore";
import { decide, DecisionKind } from "../src/core/decisions";
import { DigestStore } from "../src/core/digestStore";
import { Fleet } from "../src/core/fleet";
import { createOffers } from "../src/core/offers";
import { DigestName } from "../src/types/nodeDigest";
import type { Vm } from "../src/types/vm";
import { VmKind, VmState } from "../src/types/vm";
import { measureDigests } from "./digestSlopes";
import { formatNumber, formatSummary, leastSquaresSlope, measureCpuUs, measureHeap, printTable } from "./measure";
import { copiesPerRunner, sampleArtifactKey, sampleConfigChanges, samplePlanInputs, sampleReport } from "./samples";

const weights = { copyRate: 2, moveCost: 0.5, maxSteps: 64 };

const measurePlanner = (): void => {
    const rows = [[16, 30], [46, 70], [91, 140], [182, 280], [182, 1_400]].map(([runners, models]) => {
        const input = { ...samplePlanInputs(runners!, models!), weights };
        return [runners!, models!, formatSummary(measureCpuUs(5, () => void decide(DecisionKind.Plan, input)))];
    });
    printTable("Planner, one round of one zone", ["runners", "models", "processor µs a round: median (range)"], rows);
    const { runners } = samplePlanInputs(1, copiesPerRunner);
    const input = {
        row: runners[0]!.row,
        report: runners[0]!.report,
        rules: { now: 0, agesMs: {}, latenessMs: 10_000, checksFence: true, self: "a/b", goneHolders: [] },
    };
    console.log(`reconciliation of one runner's row: ${formatSummary(measureCpuUs(5_000, () => void decide(DecisionKind.Reconcile, input)))} µs`);
    console.log(
        `ledger row with ${copiesPerRunner} entries: ${JSON.stringify(runners[0]!.row).length} bytes; report: ${
            JSON.stringify(runners[0]!.report).length
        } bytes`,
    );
};

/** What a zone offers, made anew at each round of stewardship. */
const measureOffers = (): void => {
    const zones = ["za", "zb", "zc", "zd", "ze"];
    const rows = [30, 280, 1_400].map(models => {
        const config = ConfigStore.create();
        config.applyChanges(sampleConfigChanges(models));
        const inputs = {
            config,
            availabilityZone: "za",
            zonesByDeployment: new Map([["d", zones]]),
            capacityOf: () => 80_000 * 182,
            demandOf: () => 0.2,
            hasConfirmedCopy: () => true,
        };
        return [models, formatSummary(measureCpuUs(5, () => void createOffers(inputs)))];
    });
    printTable("Offers of one zone of five, one round", ["models", "processor µs: median (range)"], rows);
};

const measureRouting = (): void => {
    const rows = [4, 16, 64, 182].map(holders => {
        const runners = samplePlanInputs(holders, copiesPerRunner).runners.map(({ vm, report }) => ({
            vm,
            report,
            reportAgeMs: 500,
            leaving: false,
            draining: [],
        }));
        const traffic = Object.fromEntries(runners.map(({ vm }) => [vm.id, { inFlight: 3, limit: 32, firstTokenMs: 80 }]));
        const need = { deployment: "d", artifacts: [sampleArtifactKey(0)], availabilityZone: "za", avoid: [], prefixHints: [] };
        return [
            holders,
            formatSummary(
                measureCpuUs(2_000, index => void decide(DecisionKind.Route, { runners, need, traffic, draws: [(index % 97) / 97, (index % 89) / 89] })),
            ),
        ];
    });
    printTable("Routing, one choice", ["holders of the model", "processor µs: median (range)"], rows);
};

const measureFleet = (): void => {
    const rows = [[16, 6], [182, 80], [910, 400]].map(([runners, nodes]) => {
        const digests = DigestStore.create("entry-0");
        const heap = measureHeap(() => {
            const parts = [...Array(nodes!).keys()].map(node => {
                const reports = Object.fromEntries(
                    [...Array(Math.ceil(runners! / nodes!)).keys()].map(
                        at => [
                            `runner-${at * nodes! + node}`,
                            sampleReport([...Array(copiesPerRunner).keys()].map(copy => sampleArtifactKey(node * copiesPerRunner + copy)), 1),
                        ],
                    ),
                );
                return { origin: `entry-${node + 1}`, name: DigestName.Reports, version: 1, value: JSON.parse(JSON.stringify(reports)) };
            });
            digests.merge(parts);
            const fleet = Fleet.create(digests);
            const vms: readonly Vm[] = [...Array(runners!).keys()].map(at => ({
                id: `runner-${at}`,
                kind: VmKind.Runner,
                state: VmState.Live,
                availabilityZone: "za",
                url: "http://10.0.0.1:8000",
                group: "d",
            }));
            fleet.setVms(vms);
            return fleet;
        });
        return [runners!, nodes!, formatNumber(heap.bytes / 1_024), formatSummary(measureCpuUs(20, () => heap.value.refresh()))];
    });
    printTable("View of the fleet on one node", ["runners", "nodes told of", "heap KiB", "processor µs a refresh: median (range)"], rows);
};

const measureConfig = (): void => {
    const rows = [300, 1_500, 3_000, 6_000].map(records => {
        const changes = sampleConfigChanges(records);
        const heap = measureHeap(() => {
            const store = ConfigStore.create();
            store.applyChanges(JSON.parse(JSON.stringify(changes)));
            return store;
        });
        const cpu = measureCpuUs(1, () => void ConfigStore.create().applyChanges(changes));
        return { records, heap: heap.bytes, cpu: cpu.median / records, snapshot: JSON.stringify(heap.value.snapshot()).length };
    });
    printTable(
        "Configuration on one node",
        ["records", "heap KiB", "processor µs a change", "snapshot KiB"],
        rows.map(row => [row.records, formatNumber(row.heap / 1_024), formatNumber(row.cpu), formatNumber(row.snapshot / 1_024)]),
    );
    console.log(`slope: ${formatNumber(leastSquaresSlope(rows.map(row => [row.records, row.heap])))} heap bytes a record`);
};

/** Measures how state, messages and processor time grow. */
export const benchSlopes = (): void => {
    console.log(
        `Node.js ${process.version}, one core; medians of 5 repeats with their range. Heap figures need --expose-gc: ${globalThis.gc ? "given" : "not given"}.`,
    );
    measureDigests();
    measureFleet();
    measurePlanner();
    measureOffers();
    measureRouting();
    measureConfig();
};

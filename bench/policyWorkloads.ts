import type { Random } from "../src/utils/random";
import type { SimulatedRequest } from "./policySimulationEngine";

/** A workload of the brief's sizes. */
export interface Workload {
    readonly name: string;
    readonly zones: readonly string[];
    /** Runners of each deployment. */
    readonly runners: Readonly<Record<string, number>>;
    readonly models: number;
    readonly adapters: number;
    readonly requestsPerSecond: number;
    /** How demand rises and falls: evening peaks, or a working day. */
    readonly peakFactor: number;
    /** Requests a second that a move must win. */
    readonly moveCost: number;
}

export const workloads: readonly Workload[] = [
    {
        name: "Nordeste",
        zones: ["recife-a", "recife-b", "fortaleza", "salvador"],
        runners: { leitor: 13, balcao: 4 },
        models: 30,
        adapters: 100,
        requestsPerSecond: 22,
        peakFactor: 1.2,
        moveCost: 1,
    },
    {
        name: "Randstad",
        zones: ["haarlem", "leiden", "delft"],
        runners: { "drafting-desk": 13, "door-desk": 3 },
        models: 25,
        adapters: 100,
        requestsPerSecond: 18,
        peakFactor: 1.9,
        moveCost: 0.3,
    },
];

/** What happens in a run. */
export enum Scenario {
    Steady = "steady",
    DemandShift = "tenfold shift",
    RunnerLost = "runner lost",
    ZonePartition = "zone cut",
    TableOutage = "table out",
    LaggingReports = "lagging reports",
}

export const durationMs = 10 * 60_000;
/** When a fault begins, and when one that ends does so. */
export const faultStartMs = durationMs / 4;
export const faultEndMs = durationMs / 2;
const msPerSecond = 1_000;
const shiftFactor = 10;

/** Which deployment serves a model: every fifth is on the small one. */
export const deploymentOf = ({ runners }: Workload, model: number): string => Object.keys(runners)[model % 5 === 4 ? 1 : 0]!;

/** Draws the requests of a run; popularity falls by rank, and a shift lifts one of the seldom-asked models tenfold within the run. */
export const drawRequests = (workload: Workload, scenario: Scenario, random: Random): readonly SimulatedRequest[] => {
    const requests: SimulatedRequest[] = [];
    const { models, adapters, zones, requestsPerSecond, peakFactor: peak } = workload;
    let at = 0;
    while (at < durationMs) {
        const phase = at / durationMs;
        const rate = requestsPerSecond * (1 + (peak - 1) * Math.sin(phase * Math.PI) ** 2);
        at += -Math.log(1 - random()) / rate * msPerSecond;
        let model = Math.min(models - 1, Math.floor(models ** random()) - 1);
        const shifted = Math.floor(models * 0.6);
        if (scenario === Scenario.DemandShift && at > faultStartMs && random() < 0.3 * Math.min(1, (at - faultStartMs) / (durationMs / shiftFactor))) {
            model = shifted;
        }
        const adapter = Math.floor(random() * adapters / models) * models + model;
        const isLong = random() < 0.15;
        requests.push({
            at,
            zone: zones[Math.floor(random() * zones.length)]!,
            model,
            adapter: random() < 0.4 && adapter < adapters ? adapter : undefined,
            tokens: isLong ? 200 : 30 + Math.floor(random() * 60),
            promptMs: isLong ? 150 : 10,
        });
    }
    return requests;
};

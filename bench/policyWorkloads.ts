import type { Random } from "../src/utils/random";
import type { SimulatedRequest } from "./policySimulationEngine";

/** A workload of a size that the requirements give. */
export interface Workload {
    readonly name: string;
    readonly zones: readonly string[];
    /** Runners of each deployment. */
    readonly runners: Readonly<Record<string, number>>;
    readonly models: number;
    readonly adapters: number;
    readonly requestsPerSecond: number;
    /** Request rate at its peak, in the middle of the run, as a multiple of the rate at the start: an evening peak, or a working day. */
    readonly peakFactor: number;
    /** Requests per second that a move must gain before the planner makes it. */
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

/** The fault or change of demand in a run. */
export enum Scenario {
    Steady = "steady",
    DemandShift = "tenfold shift",
    RunnerLost = "runner lost",
    ZonePartition = "zone cut",
    TableOutage = "table out",
    LaggingReports = "lagging reports",
}

export const durationMs = 10 * 60_000;
/** Time at which a fault begins, and at which a temporary fault ends. */
export const faultStartMs = durationMs / 4;
export const faultEndMs = durationMs / 2;
const msPerSecond = 1_000;
const shiftRampDivisor = 10;

/** The deployment that serves a model: the small one for every fifth model. */
export const deploymentOf = ({ runners }: Workload, model: number): string => Object.keys(runners)[model % 5 === 4 ? 1 : 0]!;

/** Generates the requests of a run. Popularity falls by rank; a demand shift raises the demand of a rarely requested model tenfold within the run. */
export const drawRequests = (workload: Workload, scenario: Scenario, random: Random): readonly SimulatedRequest[] => {
    const requests: SimulatedRequest[] = [];
    const { models, adapters, zones, requestsPerSecond, peakFactor } = workload;
    let at = 0;
    while (at < durationMs) {
        const progress = at / durationMs;
        const rate = requestsPerSecond * (1 + (peakFactor - 1) * Math.sin(progress * Math.PI) ** 2);
        at += -Math.log(1 - random()) / rate * msPerSecond;
        let model = Math.min(models - 1, Math.floor(models ** random()) - 1);
        const shiftedModel = Math.floor(models * 0.6);
        if (scenario === Scenario.DemandShift && at > faultStartMs && random() < 0.3 * Math.min(1, (at - faultStartMs) / (durationMs / shiftRampDivisor))) {
            model = shiftedModel;
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

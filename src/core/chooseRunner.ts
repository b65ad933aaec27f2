import type { RunnerView } from "../types/runnerView";
import type { Random } from "../utils/random";
import { isReportedResident } from "./memoryReservations";

/** What a request requires of a runner. */
export interface RunnerRequirements {
    readonly deployment: string;
    readonly artifacts: readonly string[];
    readonly availabilityZone: string;
    /** Runners on which an attempt of this request has failed. */
    readonly avoid: readonly string[];
    /** Runners that are likely to have the prompt's prefix in their cache. */
    readonly prefixHints: readonly string[];
}

/** This node's own traffic to a runner. */
export interface RunnerTraffic {
    readonly inFlight: number;
    readonly limit: number;
    /** Moving average of the time to first token; undefined before the first answer. */
    readonly firstTokenMs: number | undefined;
}

/** Time to first token assumed for a runner that has not answered this node yet. */
const defaultFirstTokenMs = 100;
/** Added to the predicted time for a runner in another availability zone. */
const crossZoneMs = 5;
/** Share of the predicted time that is saved when the prompt's prefix is cached. */
const cachedPrefixSaving = 0.5;
/** A reported load is weighted down to 0 over this time. */
const reportLifetimeMs = 15_000;

/** Whether a runner can take the request now. */
export const isCandidate = (runner: RunnerView, requirements: RunnerRequirements): boolean => {
    const { report, vm } = runner;
    return vm.group === requirements.deployment && !runner.leaving && report !== undefined && !report.leaving
        && requirements.artifacts.every(artifact => isReportedResident(report, artifact) && !runner.draining.includes(artifact));
};

/** Estimated requests at the runner: its reported count, weighted down with the report's age, or this node's requests in flight, whichever is more. */
export const estimateLoad = (runner: RunnerView, traffic: RunnerTraffic): number => {
    const report = runner.report;
    const reported = report ? report.active + report.queued : 0;
    const weight = Math.max(0, 1 - runner.reportAgeMs / reportLifetimeMs);
    return Math.max(traffic.inFlight, reported * weight);
};

/** Predicts the time to first token, the score by which runners are compared. */
export const predictFirstTokenMs = (runner: RunnerView, traffic: RunnerTraffic, requirements: RunnerRequirements): number => {
    const slots = Math.max(1, runner.report?.slots ?? 1);
    const utilisation = estimateLoad(runner, traffic) / slots;
    const unloadedMs = traffic.firstTokenMs ?? defaultFirstTokenMs;
    // Below the slot count, batching hides the load; above it, every further batch waits for an earlier one to end.
    const loadedMs = unloadedMs * (1 + utilisation) + Math.max(0, utilisation - 1) * unloadedMs * slots;
    const savedMs = requirements.prefixHints.includes(runner.vm.id) ? loadedMs * cachedPrefixSaving : 0;
    return loadedMs - savedMs + (runner.vm.availabilityZone === requirements.availabilityZone ? 0 : crossZoneMs);
};

/**
 * Chooses the best of two random candidates with free capacity, from the node's own availability zone if it has any, and up to two random
 * candidates that the prefix hints name.
 */
export const chooseRunner = (
    runners: readonly RunnerView[],
    requirements: RunnerRequirements,
    trafficOf: (runner: string) => RunnerTraffic,
    random: Random,
): RunnerView | undefined => {
    const available = runners.filter(runner => isCandidate(runner, requirements)).filter(runner => {
        const traffic = trafficOf(runner.vm.id);
        return traffic.inFlight < traffic.limit;
    });
    // A runner on which this request has failed is used again only if no other can take it.
    const untried = available.filter(runner => !requirements.avoid.includes(runner.vm.id));
    const eligible = untried.length > 0 ? untried : available;
    const sameZone = eligible.filter(runner => runner.vm.availabilityZone === requirements.availabilityZone);
    const hinted = eligible.filter(runner => requirements.prefixHints.includes(runner.vm.id));
    const sample = [...new Set([...sampleTwo(sameZone.length > 0 ? sameZone : eligible, random), ...sampleTwo(hinted, random)])];
    const scores = sample.map(runner => predictFirstTokenMs(runner, trafficOf(runner.vm.id), requirements));
    return sample[scores.indexOf(Math.min(...scores))];
};

const sampleTwo = (pool: readonly RunnerView[], random: Random): readonly RunnerView[] => {
    if (pool.length <= 2) {
        return pool;
    }
    const first = Math.floor(random() * pool.length);
    const second = Math.floor(random() * (pool.length - 1));
    return [pool[first]!, pool[second >= first ? second + 1 : second]!];
};

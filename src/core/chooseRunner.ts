import type { RunnerView } from "../types/runnerView";
import type { Random } from "../utils/random";
import { isReportedResident } from "./memoryReservations";

/** What a request needs of a runner. */
export interface RunnerRequirements {
    readonly deployment: string;
    readonly artifacts: readonly string[];
    readonly availabilityZone: string;
    /** Runners that this request must not meet again. */
    readonly avoid: readonly string[];
    /** Runners likely to hold the prompt's prefix in their cache. */
    readonly prefixHints: readonly string[];
}

/** What the node itself knows of its traffic to a runner. */
export interface RunnerTraffic {
    readonly inFlight: number;
    readonly limit: number;
    /** Moving average of the time to first token, undefined before the first answer. */
    readonly firstTokenMs: number | undefined;
}

/** Time to first token assumed for a runner that has not answered yet. */
const assumedFirstTokenMs = 100;
/** Added to the predicted time when a request crosses zones. */
const crossZoneMs = 5;
/** Share of the predicted time that a cached prefix saves. */
const prefixSaving = 0.5;
/** After this time a report of load says nothing more. */
const reportLifetimeMs = 15_000;

/** Whether a runner can take the request now. */
export const isCandidate = (runner: RunnerView, need: RunnerRequirements): boolean => {
    const { report, vm } = runner;
    return vm.group === need.deployment && !runner.leaving && report !== undefined && !report.leaving
        && need.artifacts.every(artifact => isReportedResident(report, artifact) && !runner.draining.includes(artifact));
};

/** Requests that the runner is thought to hold: its own count, aged, or what this node sent, whichever is more. */
export const estimateLoad = (runner: RunnerView, traffic: RunnerTraffic): number => {
    const report = runner.report;
    const reported = report ? report.active + report.queued : 0;
    const weight = Math.max(0, 1 - runner.reportAgeMs / reportLifetimeMs);
    return Math.max(traffic.inFlight, reported * weight);
};

/** Predicted time to first token, the score by which runners are compared. */
export const predictFirstTokenMs = (runner: RunnerView, traffic: RunnerTraffic, need: RunnerRequirements): number => {
    const slots = Math.max(1, runner.report?.slots ?? 1);
    const busy = estimateLoad(runner, traffic) / slots;
    const base = traffic.firstTokenMs ?? assumedFirstTokenMs;
    // Below the slot count batching hides load; beyond it every further batch waits for one to end.
    const waiting = base * (1 + busy) + Math.max(0, busy - 1) * base * slots;
    const saved = need.prefixHints.includes(runner.vm.id) ? waiting * prefixSaving : 0;
    return waiting - saved + (runner.vm.availabilityZone === need.availabilityZone ? 0 : crossZoneMs);
};

/** Chooses the better of two random candidates that have room; own zone first, and a hinted runner joins the comparison. */
export const chooseRunner = (
    runners: readonly RunnerView[],
    need: RunnerRequirements,
    trafficOf: (runner: string) => RunnerTraffic,
    random: Random,
): RunnerView | undefined => {
    const able = runners.filter(runner => isCandidate(runner, need)).filter(runner => {
        const traffic = trafficOf(runner.vm.id);
        return traffic.inFlight < traffic.limit;
    });
    // A runner that failed this request is met again only where no other can take it.
    const fresh = able.filter(runner => !need.avoid.includes(runner.vm.id));
    const free = fresh.length > 0 ? fresh : able;
    const near = free.filter(runner => runner.vm.availabilityZone === need.availabilityZone);
    const hinted = free.filter(runner => need.prefixHints.includes(runner.vm.id));
    const compared = [...new Set([...sampleTwo(near.length > 0 ? near : free, random), ...sampleTwo(hinted, random)])];
    const scores = compared.map(runner => predictFirstTokenMs(runner, trafficOf(runner.vm.id), need));
    return compared[scores.indexOf(Math.min(...scores))];
};

const sampleTwo = (pool: readonly RunnerView[], random: Random): readonly RunnerView[] => {
    if (pool.length <= 2) {
        return pool;
    }
    const first = Math.floor(random() * pool.length);
    const second = Math.floor(random() * (pool.length - 1));
    return [pool[first]!, pool[second >= first ? second + 1 : second]!];
};

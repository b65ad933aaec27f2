import type { ReservationRow } from "../types/memoryReservation";
import type { Offer, PlannedRunner, PlanStep, PlanWeights } from "../types/plan";
import type { EngineReport } from "../types/report";
import type { RunnerView } from "../types/runnerView";
import type { RunnerRequirements, RunnerTraffic } from "./chooseRunner";
import { chooseRunner } from "./chooseRunner";
import type { LatenessRules, Reconciliation } from "./memoryReservations";
import { reconcileRow } from "./memoryReservations";
import { ZonePlanner } from "./zonePlanner";

/** The decisions that can be recorded and replayed. */
export enum DecisionKind {
    /** Which runner gets a request. */
    Route = "route",
    /** What a report of an engine changes in its ledger row. */
    Reconcile = "reconcile",
    /** Which copies are loaded and drained next. */
    Plan = "plan",
}

/** Input and outcome of each decision; both are plain JSON. */
export interface Decisions {
    readonly [DecisionKind.Route]: {
        readonly input: {
            readonly runners: readonly RunnerView[];
            readonly need: RunnerRequirements;
            readonly traffic: Readonly<Record<string, RunnerTraffic>>;
            /** Random numbers that the decision may use. */
            readonly draws: readonly number[];
        };
        readonly outcome: string | undefined;
    };
    readonly [DecisionKind.Reconcile]: {
        readonly input: { readonly row: ReservationRow; readonly report: EngineReport; readonly rules: LatenessRules; };
        readonly outcome: Reconciliation;
    };
    readonly [DecisionKind.Plan]: {
        readonly input: { readonly runners: readonly PlannedRunner[]; readonly offers: readonly Offer[]; readonly weights: PlanWeights; };
        readonly outcome: readonly PlanStep[];
    };
}

type Decider<K extends DecisionKind> = (input: Decisions[K]["input"]) => Decisions[K]["outcome"];

const deciders: { readonly [K in DecisionKind]: Decider<K>; } = {
    [DecisionKind.Route]: ({ runners, need, traffic, draws }) => {
        let next = 0;
        return chooseRunner(runners, need, id => traffic[id]!, () => draws[next++ % draws.length]!)?.vm.id;
    },
    [DecisionKind.Reconcile]: ({ row, report, rules }) => reconcileRow(row, report, rules),
    [DecisionKind.Plan]: ({ runners, offers, weights }) => ZonePlanner.create(runners, offers, weights).plan(),
};

/** Takes each decision with its input and outcome. */
export type DecisionRecorder = <K extends DecisionKind>(kind: K, input: Decisions[K]["input"], outcome: Decisions[K]["outcome"]) => void;

let recorder: DecisionRecorder | undefined;

/** Records every decision from now on; undefined ends it. */
export const setDecisionRecorder = (next: DecisionRecorder | undefined): void => {
    recorder = next;
};

/** Decides: the same input gives the same outcome in a daemon, a test and a replay. */
export const decide = <K extends DecisionKind>(kind: K, input: Decisions[K]["input"]): Decisions[K]["outcome"] => {
    const outcome = deciders[kind](input);
    recorder?.(kind, input, outcome);
    return outcome;
};

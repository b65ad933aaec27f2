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
    /** Which runner a request is sent to. */
    Route = "route",
    /** How a report of an engine changes the memory reservations of its runner. */
    Reconcile = "reconcile",
    /** Which model copies are loaded and drained next. */
    Plan = "plan",
}

/** Input and outcome of each kind of decision; both are plain JSON. */
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

/** Receives each decision with its input and outcome. */
export type DecisionRecorder = <K extends DecisionKind>(kind: K, input: Decisions[K]["input"], outcome: Decisions[K]["outcome"]) => void;

let recorder: DecisionRecorder | undefined;

/** Sets the recorder of all further decisions; undefined stops recording. */
export const setDecisionRecorder = (next: DecisionRecorder | undefined): void => {
    recorder = next;
};

/** Takes a decision. It depends on the input only, so that the outcome is the same in a node, a test and a replay. */
export const decide = <K extends DecisionKind>(kind: K, input: Decisions[K]["input"]): Decisions[K]["outcome"] => {
    const outcome = deciders[kind](input);
    recorder?.(kind, input, outcome);
    return outcome;
};

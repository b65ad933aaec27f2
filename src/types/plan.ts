import type { ReservationRow } from "./memoryReservation";
import type { EngineReport } from "./report";
import type { Vm } from "./vm";

/** A runner as input of the planner. */
export interface PlannedRunner {
    readonly vm: Vm;
    readonly row: ReservationRow;
    readonly report: EngineReport;
    readonly leaving: boolean;
    readonly cost: number;
    /** Artifacts whose load has no known outcome; they reserve memory but do not count as copies. */
    readonly stuck: readonly string[];
    /** Draining artifacts that have been out of routing for long enough and are idle. */
    readonly drained: readonly string[];
}

/** An artifact that is offered to callers and may be needed in this zone. */
export interface Offer {
    readonly artifact: string;
    readonly memoryMiB: number;
    readonly deployment: string;
    /** Copies that must always be resident in this zone. */
    readonly minCopies: number;
    /** Whether another zone must keep a copy and has one confirmed, so that the last copy of this zone may be removed. */
    readonly homeHolds: boolean;
    /** Requests per second that this zone should be able to serve. */
    readonly demand: number;
    /** Artifact of the base model, if the offer is an adapter. */
    readonly base?: string;
}

/** Kind of a planned step. */
export enum StepKind {
    Load = "load",
    /** Take the copy out of routing, to be unloaded once it is idle. */
    Drain = "drain",
    /** Unload a copy that is out of routing and idle. */
    Unload = "unload",
    /** Return a draining copy to routing. */
    Keep = "keep",
}

/** One step of a plan. */
export interface PlanStep {
    readonly kind: StepKind;
    readonly runner: string;
    readonly artifact: string;
    readonly memoryMiB: number;
}

/** Weights of the planner, which operators set. */
export interface PlanWeights {
    /** Requests per second that one copy serves within its target. */
    readonly copyRate: number;
    /** Requests per second that a move must gain to be made. */
    readonly moveCost: number;
    /** Steps that one round may start. */
    readonly maxSteps: number;
}

import type { ReservationRow } from "./memoryReservation";
import type { EngineReport } from "./report";
import type { Vm } from "./vm";

/** A runner as the planner sees it. */
export interface PlannedRunner {
    readonly vm: Vm;
    readonly row: ReservationRow;
    readonly report: EngineReport;
    readonly leaving: boolean;
    readonly cost: number;
    /** Artifacts whose load has no known outcome; they hold memory but are no copies. */
    readonly stuck: readonly string[];
    /** Artifacts that have been out of routing long enough and are idle. */
    readonly drained: readonly string[];
}

/** An artifact that is offered and may be wanted in this zone. */
export interface Offer {
    readonly artifact: string;
    readonly memoryMiB: number;
    readonly deployment: string;
    /** Copies that must always be resident in this zone. */
    readonly minCopies: number;
    /** Whether another zone must keep a copy and has one confirmed, so that the last copy of this zone may go. */
    readonly homeHolds: boolean;
    /** Requests a second that this zone should be able to answer. */
    readonly demand: number;
    /** The model's artifact where the offer is an adapter. */
    readonly base?: string;
}

/** A step that the planner asks for. */
export enum StepKind {
    Load = "load",
    /** Take the copy out of routing, to be unloaded once it is idle. */
    Drain = "drain",
    /** Unload a copy that routing has dropped and that is idle. */
    Unload = "unload",
    /** Put a draining copy back into routing. */
    Keep = "keep",
}

/** One step of a plan. */
export interface PlanStep {
    readonly kind: StepKind;
    readonly runner: string;
    readonly artifact: string;
    readonly memoryMiB: number;
}

/** Weights that an operator's deployment prizes. */
export interface PlanWeights {
    /** Requests a second that one copy answers within target. */
    readonly copyRate: number;
    /** Requests a second that a move must win before it is made. */
    readonly moveCost: number;
    /** Steps that one round may start. */
    readonly maxSteps: number;
}

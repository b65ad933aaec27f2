import type { Offer, PlanWeights } from "./plan";
import type { EngineReport } from "./report";
import type { Vm } from "./vm";

/** A runner as input of a control round. */
export interface ControlledRunner {
    readonly vm: Vm;
    readonly report: EngineReport | undefined;
    readonly leaving: boolean;
    readonly cost: number;
    readonly checksFence: boolean;
}

/** Options of a zone controller. */
export interface ZoneControllerOptions {
    readonly weights: PlanWeights;
    readonly drainDelayMs: number;
    readonly orderLatenessMs: number;
    readonly loadsAtOnce: number;
}

/** Input of a control round. */
export interface ZoneControllerInputs {
    readonly runners: readonly ControlledRunner[];
    readonly offers: readonly Offer[];
    /** Whether a process, as `node/incarnation`, is known to have ended. */
    readonly isGone: (holder: string) => boolean;
}

/** Returns whether the lease is still held. */
export type LeaseCheck = () => boolean;

import type { Offer, PlanWeights } from "./plan";
import type { EngineReport } from "./report";
import type { Vm } from "./vm";

/** A runner as a round of stewardship sees it. */
export interface ControlledRunner {
    readonly vm: Vm;
    readonly report: EngineReport | undefined;
    readonly leaving: boolean;
    readonly cost: number;
    readonly checksFence: boolean;
}

/** Rules of a steward. */
export interface ZoneControllerOptions {
    readonly weights: PlanWeights;
    readonly drainDelayMs: number;
    readonly orderLatenessMs: number;
    readonly loadsAtOnce: number;
}

/** What a round starts from. */
export interface ZoneControllerInputs {
    readonly runners: readonly ControlledRunner[];
    readonly offers: readonly Offer[];
    /** Whether a process, as `node/incarnation`, is known to have ended. */
    readonly isGone: (holder: string) => boolean;
}

/** Tells whether the stewardship is still held. */
export type LeaseCheck = () => boolean;

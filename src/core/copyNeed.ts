import type { RunnerBound } from "./runnerBound";

/** What copies of a model at some of the runners are worth, beside their share of the model's load. */
export interface CopyNeed {
    readonly model: string;
    readonly bound: RunnerBound;
    /** Value per second of the first copy at these runners, and of a second one. */
    readonly firstValue: number;
    readonly secondValue: number;
    /** What requests that wait for the first copy lose with each second until it serves; undefined if none wait. */
    readonly delayCostPerS?: number;
}

import type { CallersRecord } from "../fakes/discardingCallers";

/** What a case did to a node process. */
export interface PieceResult {
    /** Signal or code with which the process has ended; undefined while it lives. */
    readonly ended: string | undefined;
    readonly peakMb: number;
    /** Times of the sound requests. */
    readonly soundMs: readonly number[];
    /** Sound requests that were not answered 200, by status. */
    readonly failed: readonly (number | undefined)[];
    /** Calls of the upstream that answers without end. */
    readonly bad: CallersRecord;
    /** Longest turn of the event loop within the last 3 s of the trouble. */
    readonly longestTurnMs: number;
    /** Time during the trouble for which the main thread of the node waited for a core. */
    readonly coreWaitMs: number;
}

import type { EngineReport } from "./report";
import type { Vm } from "./vm";

/** This node's view of a runner. */
export interface RunnerView {
    readonly vm: Vm;
    readonly report: EngineReport | undefined;
    /** Age of the last report. */
    readonly reportAgeMs: number;
    readonly leaving: boolean;
    /** Artifacts that must not get new requests. */
    readonly draining: readonly string[];
}

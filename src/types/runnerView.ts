import type { EngineReport } from "./report";
import type { Vm } from "./vm";

/** What a node knows of a runner. */
export interface RunnerView {
    readonly vm: Vm;
    readonly report: EngineReport | undefined;
    /** Age of the report. */
    readonly reportAgeMs: number;
    readonly leaving: boolean;
    /** Artifacts that must get no new requests. */
    readonly draining: readonly string[];
}

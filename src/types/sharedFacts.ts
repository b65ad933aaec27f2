import type { RunnerCrash } from "./runnerCrash";
import type { RunnerLimit } from "./runnerLimit";
import type { SharedSpeed } from "./sharedSpeed";
import type { BrittleUpstream, LeavingUpstream } from "./upstreamWord";

/** What nodes observe and tell all others, with the reports and answers that they exchange anyway. */
export interface SharedFacts {
    readonly crashes: readonly RunnerCrash[];
    readonly limits: readonly RunnerLimit[];
    /** Absent from nodes of earlier versions. */
    readonly leaving?: readonly LeavingUpstream[];
    /** Absent from nodes of earlier versions. */
    readonly brittle?: readonly BrittleUpstream[];
    /** Absent from nodes of earlier versions. */
    readonly speeds?: readonly SharedSpeed[];
}

/** A node's facts for the peer that it reports to. */
export interface FactReport {
    /** Process whose facts the node knows up to `knownRevision`. */
    readonly source?: string;
    readonly knownRevision: number;
    readonly facts: SharedFacts;
}

/** The facts that the reporting node does not know yet. */
export interface FactAnswer {
    readonly source: string;
    readonly revision: number;
    readonly facts: SharedFacts;
}

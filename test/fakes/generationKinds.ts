/** A kind of request, of one customer. */
export interface GenerationKind {
    readonly name: string;
    readonly customer: string;
    readonly priority: number;
    readonly promptTokens: number;
    readonly events: number;
    readonly objectiveMs: number;
    readonly gapMs: number;
    /** Requests in a second, of all nodes together. */
    readonly perSecond: number;
}

/** What became of the requests of one kind. */
export interface KindResult {
    sent: number;
    /** Served with the first event and all gaps within what the kind allows, and all that were served. */
    inTime: number;
    served: number;
    refused: number;
    tokens: number;
    /** Times until requests were refused, and longest gap between two events. */
    longestWaitMs: number;
    longestGapMs: number;
}

/** The load on a fleet, and what fails. */
export interface GenerationFleetTerms {
    readonly nodeCount: number;
    readonly runnerCount: number;
    readonly kvTokens: number;
    readonly kinds: readonly GenerationKind[];
    /** Whether nodes ask for places. */
    readonly asks: boolean;
    /** When a tenth of the nodes end. */
    readonly nodesEndAtMs?: number;
    /** Nodes that reach no other node. */
    readonly cutOff?: number;
}

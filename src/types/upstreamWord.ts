/** Why a header about an upstream's availability, or a figure of its load, is ignored. */
export enum IgnoredHeader {
    BrittleRepeated = "brittle_repeated",
    BrittleValue = "brittle_value",
    LeavingRepeated = "leaving_repeated",
    LeavingValue = "leaving_value",
    /** The fourth figure of the load is no positive decimal number. */
    PaceValue = "pace_value",
    /** The fourth figure of the load is beyond what any machine's pace can be. */
    PaceRange = "pace_range",
    QuietRepeated = "quiet_repeated",
    QuietValue = "quiet_value",
}

/** What the headers of an answer say of the availability of the upstream that sent it. */
export interface UpstreamWord {
    /** Whether the upstream states that it is leaving. */
    readonly isLeaving: boolean;
    /** Time for which the upstream asks this node for no further requests. */
    readonly quietMs?: number;
    /** Rejections in a second beyond which the upstream fails; undefined if it does not say that it is brittle. */
    readonly maxRejectionsPerS?: number;
    /** Whether the answer carries the signature of the upstream that ran the request; undefined where that is not known. */
    readonly isSigned?: boolean;
    /** ID of the upstream that sent the answer, if it names itself. */
    readonly instanceId?: string;
    /** Whether the answer is from another upstream than the one that was addressed, or that one lacks what was asked for. */
    readonly isMisdirected: boolean;
    readonly ignoredHeaders: readonly IgnoredHeader[];
}

/** An upstream's process. */
export interface UpstreamProcess {
    readonly id: string;
    readonly bornAt: number;
}

/** What is known of an upstream that has said that it is brittle, as nodes tell each other. */
export interface BrittleUpstream extends UpstreamProcess {
    /** Undefined if its directory entry was not known. */
    readonly service?: string;
    /** Undefined once its answers no longer say that it is brittle. */
    readonly maxRejectionsPerS?: number;
    readonly ageMs: number;
}

/** What an upstream said of its leaving, as nodes tell each other. */
export interface LeavingUpstream extends UpstreamProcess {
    readonly ageMs: number;
}

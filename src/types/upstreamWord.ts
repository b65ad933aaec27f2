/** Why a header about an upstream's availability is ignored. */
export enum IgnoredHeader {
    LeavingRepeated = "leaving_repeated",
    LeavingValue = "leaving_value",
    QuietRepeated = "quiet_repeated",
    QuietValue = "quiet_value",
}

/** What the headers of an answer say of the availability of the upstream that sent it. */
export interface UpstreamWord {
    /** Whether the upstream states that it is leaving. */
    readonly isLeaving: boolean;
    /** Time for which the upstream asks this node for no further requests. */
    readonly quietMs?: number;
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

/** What an upstream said of its leaving, as nodes tell each other. */
export interface LeavingUpstream extends UpstreamProcess {
    readonly ageMs: number;
}

/** How a call to a home node or deputy ended. */
export enum UsageCallResult {
    Answered = "answered",
    Failed = "failed",
    /** No answer came in time. */
    Late = "late",
    /** The node is of an earlier release, which knows no usage limits. */
    NotSupported = "not-supported",
}

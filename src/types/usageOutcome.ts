/** What became of a charge. */
export enum UsageOutcome {
    Admitted = "admitted",
    /** The allowance is used up. */
    Refused = "refused",
    /** The asked node cannot tell whether the allowance is used up. */
    Unknown = "unknown",
}

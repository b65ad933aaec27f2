/** Exit codes of the program. */
export enum ExitCode {
    Ok = 0,
    /** The node answered the request with a failure. */
    Failed = 1,
    /** Settings, flags or records are not valid. */
    Usage = 2,
    /** A node or service could not be reached. */
    Unreachable = 3,
    /** A replayed decision differs from the outcome in the trace. */
    ReplayMismatch = 4,
    /** The node cut off requests in progress when it stopped. */
    RequestsAborted = 5,
    /** The file of the program is missing or is not the one that was built. */
    ProgramUnusable = 6,
}

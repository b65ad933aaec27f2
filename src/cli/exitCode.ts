/** Exit codes of the program. */
export enum ExitCode {
    Ok = 0,
    /** The request was answered with a failure. */
    Failed = 1,
    /** Settings, flags or records are not valid. */
    Usage = 2,
    /** A node or service could not be reached. */
    Unreachable = 3,
    /** A replay differs from its stated outcomes. */
    ReplayMismatch = 4,
    /** A stopping node cut requests off. */
    RequestsAborted = 5,
}

/** How a connection to an upstream failed. */
export enum ContactFailure {
    /** It was not opened: refused, unreachable or not in time. */
    Connect = "connect",
    /** It ended before an answer to what was sent over it. */
    Ended = "ended",
}

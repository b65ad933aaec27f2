/** How a connection to an upstream failed. */
export enum ContactFailure {
    /** It was not opened: refused, unreachable or not in time. */
    Connect = "connect",
    /** It ended before an answer to what was sent over it. */
    Ended = "ended",
    /** Nothing was sent for an error of this node: its client failed, or the system refused it a socket. It says nothing of the upstream. */
    Own = "own",
}

/** Who ended the connection of a request that got no whole answer. */
export enum RequestCloser {
    /** The caller closed or reset it, or sent what is no request. */
    Caller = "caller",
    /** Writing to the caller failed. */
    WriteError = "write-error",
    /** This node closed it. */
    Node = "node",
    /** The process exits. */
    Exit = "exit",
}

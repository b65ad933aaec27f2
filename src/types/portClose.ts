/** Why a connection to a port that is not for callers was closed. */
export enum PortClose {
    /** Its head was not read to its end, and all such heads hold too much memory. */
    Head = "head",
    /** It sent a request before the answer to another one had been written. */
    Pipelined = "pipelined",
    /** Its body was not read to its end, and all such bodies hold too much memory. */
    Body = "body",
    /** The port has too many connections. */
    Connections = "connections",
}

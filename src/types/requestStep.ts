/** Steps of a request's way, for what ends it. */
export enum RequestStep {
    /** Waiting until the requests ahead on its connection have been answered. */
    Ahead = "ahead",
    /** Decoding its headers and finding its route. */
    Read = "read",
    /** Waiting for memory for its body, and reading it. */
    Memory = "memory",
    Body = "body",
    /** Waiting until its usage is charged to its customer. */
    Charge = "charge",
    /** Finding the software version at which a stream goes on. */
    Pin = "pin",
    /** Choosing an upstream, and waiting for one. */
    Choose = "choose",
    /** Waiting for a turn at the chosen upstream. */
    Turn = "turn",
    /** Preparing an attempt, up to its first byte. */
    Send = "send",
    /** Receiving the head, the data and the end of an upstream's answer. */
    Head = "head",
    Data = "data",
    End = "end",
    /** Drawing the consequences of an attempt. */
    Classify = "classify",
    /** Answering the caller. */
    Answer = "answer",
    /** Its answer is handed to the connection and not written out yet. */
    Write = "write",
}

/** Steps of a request's way, for the error that ends it. */
export enum RequestStep {
    /** Decoding its headers, reading its body and finding its route. */
    Read = "read",
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
}

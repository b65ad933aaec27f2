/** What a learned speed describes. */
export enum SpeedKind {
    /** Time to the first event by prompt tokens that were not cached. */
    Prefill = "prefill",
    /** Time of a decoding step by the requests in the batch. */
    Step = "step",
    /** Time of a request to a plain service. */
    Plain = "plain",
    /** Step time of a model relative to that of its service. */
    Model = "model",
}

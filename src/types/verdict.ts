/** Whether a request may have run on an upstream. */
export enum Verdict {
    /** Provably not run: no byte was sent, or the upstream stated that it did not run the request. */
    NotRun = "not-run",
    /** Bytes were sent and the outcome is unknown. */
    MayHaveRun = "may-have-run",
    /** The request ran, and its outcome is known. */
    Ran = "ran",
}

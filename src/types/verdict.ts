/** Says whether a request may have run on an upstream. */
export enum Verdict {
    /** Proved not to have run: no byte left, or the upstream said so. */
    NotRun = "not-run",
    /** Bytes left and no outcome is known. */
    MayHaveRun = "may-have-run",
    /** An outcome is known. */
    Ran = "ran",
}

/** What became of the code cache of the program at a start. */
export enum CodeCacheUse {
    Used = "used",
    /** The program was built without one. */
    Missing = "missing",
    Unreadable = "unreadable",
    /** Its contents are not those that were written. */
    Damaged = "damaged",
    OtherProgram = "other-program",
    /** It was made by another version of Node.js or V8. */
    OtherRuntime = "other-runtime",
    OtherProcessor = "other-processor",
    /** V8 refused it, as it does when the process runs with other flags. */
    Rejected = "rejected",
    /** The program is not loaded from a file of its own, as in the single executable. */
    None = "none",
}

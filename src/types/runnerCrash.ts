/** A runner that ended while it worked on requests, as nodes tell each other. */
export interface RunnerCrash {
    /** Identifies the runner's process. */
    readonly id: string;
    readonly ageMs: number;
    /** Shared prompt parts of each request that it may have crashed on. */
    readonly suspects: readonly (readonly string[])[];
    /** Parts that were answered without a crash at about that time or later. */
    readonly cleared: readonly string[];
}

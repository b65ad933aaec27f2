/** What a node heard from a runner of the requests that it takes, as nodes tell each other. */
export interface RunnerLimit {
    /** Identifies the runner's process. */
    readonly runner: string;
    /** Requests per second that the runner takes from all nodes together; undefined if it no longer names a limit. */
    readonly perSecond?: number;
    readonly ageMs: number;
}

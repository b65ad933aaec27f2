/** Parts of prompts, or keys of requests, that crash runners: a request that has all of them is not sent. */
export interface Quarantine {
    /** The part that explains the crashes, and parts that came with it in each suspected request. */
    readonly parts: readonly string[];
    /** Times of the crashes that count, in ascending order, on the monotonic clock, with the runner's process. */
    readonly crashes: readonly { readonly id: string; readonly at: number; }[];
}

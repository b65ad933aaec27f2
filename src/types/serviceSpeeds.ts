/** Speeds of the upstreams of one service at the usual pace. */
export interface ServiceSpeeds {
    readonly prefillMsPerToken: number;
    /** Time of one decoding step of a batch, and the time that each further request in the batch adds to it. */
    readonly stepMs: number;
    readonly stepMsPerRequest: number;
    /** Time to the first byte of a plain request to an idle upstream that this node has not used yet. */
    readonly plainMs: number;
}

/** Limits on the answers of upstreams, the platform's store and peers: a server in trouble may send bytes without end. */
export interface TransportLimits {
    /** Maximum size of an answer's head, in bytes. */
    readonly maxAnswerHeadBytes: number;
    /** Maximum size of an answer that is kept in memory until it is complete, in bytes. */
    readonly maxAnswerBytes: number;
    /** Maximum size of all answers together that are kept in memory until they are complete, in bytes. */
    readonly maxHeldAnswerBytes: number;
    /** Maximum size of a runner's report, in bytes. */
    readonly maxReportBytes: number;
    /** Maximum size of all answers of runners, peers and the store together that are kept while the node reads them for itself, in bytes. */
    readonly maxOwnAnswerBytes: number;
    /** Maximum size of one event of a stream, in bytes. */
    readonly maxEventBytes: number;
    /** Time within which the store and peers begin an answer, and the longest pause within it. */
    readonly answerSilenceMs: number;
    /** Time within which the store and peers complete an answer that they have begun. */
    readonly answerTimeoutMs: number;
}

import type { RequestPlan } from "./requestPlan";

/** How a request ended for its caller. */
export enum CallerEnd {
    /** The whole answer arrived. */
    Whole = "whole",
    /** A whole answer arrived that is not the upstream's. */
    WrongBody = "wrong-body",
    /** The connection ended within the answer. */
    Cut = "cut",
    /** The connection ended without a byte of an answer. */
    Closed = "closed",
    /** Nothing arrived until long after the deadline. */
    None = "none",
}

/** How an upstream's work on a request ended. */
export enum UpstreamEnd {
    /** The answer was written whole, and its connection ended in order. */
    Whole = "whole",
    /** The upstream did what was planned as its fault. */
    Faulty = "faulty",
    /** The node closed the connection before the answer was whole. */
    ClosedByNode = "closed-by-node",
}

/** What callers and upstreams saw of one request. Times are on the monotonic clock. */
export interface LoadRecord {
    readonly plan: RequestPlan;
    readonly node: string;
    readonly startedAt: number;
    /** When the last byte was handed to the system; undefined if the connection ended before. */
    sentAt?: number;
    end?: CallerEnd;
    status?: number;
    endedAt?: number;
    /** When the upstream had received the whole request. */
    passedOnAt?: number;
    upstreamEnd?: UpstreamEnd;
    upstreamEndedAt?: number;
}

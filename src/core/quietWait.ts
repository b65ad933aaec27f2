import type { Random } from "../utils/random";

/** An upstream that takes no requests now, but will. */
export interface QuietUpstream {
    readonly id: string;
    /** Time left until it takes requests again; 0 if it takes few already. */
    readonly quietMs: number;
    readonly slots: number;
}

/** The position of a request for which every upstream that could run it asked for quiet. */
export interface QuietSituation {
    readonly upstreams: readonly QuietUpstream[];
    /** Whether the request has waited already: it is not refused then as long as it can be answered. */
    readonly hasWaited: boolean;
    /** Requests that have waited longer for the same service. */
    readonly ahead: number;
    /** Time that an upstream needs for the request. */
    readonly neededMs: number;
    /** Time left until the latency objective, and until the answer is of no more use: at the deadline, or before if the caller gives up. */
    readonly objectiveMs: number;
    readonly remainingMs: number;
    /** Time left until the deadline, if it differs from `remainingMs`: callers follow a Retry-After up to a share of it. */
    readonly deadlineMs?: number;
}

/** Whether a request waits until its upstreams take requests again, or its caller is told when to come back. */
export type QuietDecision =
    | { readonly mayWait: true; readonly waitMs: number; }
    | { readonly mayWait: false; readonly retryAfterMs: number; };

/** Callers follow a Retry-After only up to this share of the time that they have left. */
const maxRetryShare = 1 / 3;
/** Callers are told to come back within this time after the end of a quiet time, which is longer after long ones. */
const minSpreadMs = 200;
const spreadShare = 0.25;
/** Longest pause before a waiting request looks for an upstream again; others may have become ready. */
const maxPauseMs = 250;
const minPauseMs = 15;

/** A time shortly after the end of a quiet time: callers are spread over the ends that they can await, and over some time after each. */
const drawRetryAfterMs = ({ upstreams, remainingMs, deadlineMs = remainingMs }: QuietSituation, earliestMs: number, random: Random): number => {
    const awaitable = upstreams.filter(({ quietMs }) => quietMs <= maxRetryShare * deadlineMs);
    const totalSlots = awaitable.reduce((sum, { slots }) => sum + slots, 0);
    let drawn = random() * totalSlots;
    const chosen = awaitable.find(({ slots }) => (drawn -= slots) < 0);
    const quietMs = chosen?.quietMs ?? earliestMs;
    return quietMs + random() * Math.max(minSpreadMs, spreadShare * quietMs);
};

/**
 * Decides for a request whose upstreams all asked for quiet. It waits if an answer in time is likely, or if its caller would come back too early; otherwise it is
 * refused at once.
 */
export const decideOnQuiet = (situation: QuietSituation, random: Random): QuietDecision => {
    const { upstreams, hasWaited, ahead, neededMs, objectiveMs, remainingMs, deadlineMs = remainingMs } = situation;
    const earliestMs = Math.min(...upstreams.map(({ quietMs }) => quietMs));
    const slots = Math.max(1, upstreams.reduce((sum, upstream) => sum + upstream.slots, 0));
    const answeredInMs = earliestMs + neededMs * (1 + ahead / slots);
    const isCallerTooEarly = earliestMs > maxRetryShare * deadlineMs;
    if (answeredInMs <= objectiveMs || ((hasWaited || isCallerTooEarly) && answeredInMs <= remainingMs)) {
        return { mayWait: true, waitMs: Math.min(maxPauseMs, earliestMs + minPauseMs * (1 + random())) };
    }
    return { mayWait: false, retryAfterMs: drawRetryAfterMs(situation, earliestMs, random) };
};

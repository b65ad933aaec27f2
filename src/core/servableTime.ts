import type { Random } from "../utils/random";

/** When a request has to be served to be of use. Times are on the monotonic clock. */
export interface ServableTime {
    /** When the caller of a stream that has had no event gives up; undefined if nothing is known to end the wait before the deadline. */
    readonly firstEventBy?: number;
    /** When the whole answer is due. */
    readonly completeBy: number;
}

/** What is known of a request when its servable time is worked out. */
export interface TimedRequest {
    readonly startedAt: number;
    /** When the answer is due: the caller's deadline, or an earlier exit of the process. */
    readonly deadlineAt: number;
    /** Longest gap, also before the first event, after which callers of the route give a stream up; undefined for other routes. */
    readonly patienceMs?: number;
    /** Whether the caller has a part of the stream: it loses that if the request is refused. */
    readonly hasPart: boolean;
}

/** Predicted times of an answer, from when the request is sent. */
export interface ServingNeed {
    readonly firstEventMs: number;
    /** Time until the last event; at least `firstEventMs`. */
    readonly completionMs: number;
}

/** Works out by when a request has to be served. */
export const servableTimeOf = ({ startedAt, deadlineAt, patienceMs, hasPart }: TimedRequest): ServableTime => ({
    firstEventBy: patienceMs === undefined || hasPart ? undefined : Math.min(startedAt + patienceMs, deadlineAt),
    completeBy: deadlineAt,
});

/** Time left until the first event is due; until the deadline if the caller waits that long for it. */
export const firstEventLeftMs = ({ firstEventBy, completeBy }: ServableTime, now: number): number => (firstEventBy ?? completeBy) - now;

/**
 * Time left until the answer has to be complete: until the deadline, or less if a stream that is complete by then would have its first event after its caller gave up.
 * A request that is sent after a wait can be served if the wait and `completionMs` together do not exceed it.
 */
export const completionLeftMs = (time: ServableTime, { firstEventMs, completionMs }: ServingNeed, now: number): number =>
    Math.min(time.completeBy - now, firstEventLeftMs(time, now) + completionMs - firstEventMs);

/** Whether the first event would come after the caller has given up, if the request is sent after a wait. */
export const isFirstEventTooLate = ({ firstEventBy }: ServableTime, { firstEventMs }: ServingNeed, waitMs: number, now: number): boolean =>
    firstEventBy !== undefined && now + waitMs + firstEventMs > firstEventBy;

/** Callers follow a Retry-After only up to this share of the time that they have left. */
const maxRetryShare = 1 / 3;
/** Returning callers are spread over at least this time, and over this share of the time until there is room. */
const minSpreadMs = 200;
const spreadShare = 0.5;
/** Spread that remains if the callers may hardly wait for longer than it takes until there is room. */
const leastSpreadMs = 50;

/** A Retry-After at or after `readyInMs`, spread over returning callers, and as far as that allows within the time up to which they follow it. */
export const drawReturnMs = (readyInMs: number, remainingMs: number, random: Random): number => {
    const spreadMs = Math.max(minSpreadMs, spreadShare * readyInMs);
    const followedMs = maxRetryShare * remainingMs - readyInMs;
    return readyInMs + random() * (followedMs > 0 ? Math.max(leastSpreadMs, Math.min(spreadMs, followedMs)) : spreadMs);
};

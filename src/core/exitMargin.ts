/** Least time between the end of the last request and the end of the grace period, at which the platform kills the process. */
const minMarginMs = 600;
/** Time that the end of the process takes when its event loop is free. */
const exitMs = 200;
/** Turns of the event loop that a stop needs at most after its deadline, and before it has noticed the request to stop. */
const turns = 4;
/** Greatest share of the grace period that the margin takes: what an upstream answers before that is waited for. */
const maxShare = 1 / 6;

/** Time before the end of the grace period at which a stopping node ends, by the longest recent turn of its event loop. */
export const exitMarginMs = (longestTurnMs: number, graceMs: number): number =>
    Math.max(minMarginMs, Math.min(Math.floor(maxShare * graceMs), exitMs + turns * longestTurnMs));

/** What is known of an attempt whose upstream sends nothing, when the decision is made. */
export interface SilentAttempt {
    /** Time since the request was sent, or since the last event of its stream. */
    readonly silentMs: number;
    /** Silence after which an upstream that does not respond to probes is given up. */
    readonly maxSilenceMs: number;
    /** Time that the request had left when this attempt was sent. */
    readonly allowedMs: number;
    /** Whether the upstream answered a probe since the silence began; undefined if it has not been probed. */
    readonly isAlive: boolean | undefined;
    /** Only for a stream that has had no event: how long its caller waits for one, from the begin of the silence. */
    readonly firstEventMs?: number;
    /** Predicted time until the first byte of this attempt; no silence below it says anything. */
    readonly typicalMs?: number;
}

/** What to do about a silent attempt. */
export enum SilenceAction {
    Wait = "wait",
    /** Ask the upstream whether it is alive. */
    Probe = "probe",
    /** Send the request to another upstream, if one can take it now. */
    FailOver = "fail-over",
}

/** Share of the allowed time for which an upstream that is alive, but has not answered, is waited for. */
const maxAliveShare = 0.5;
/**
 * Shares of the time that a caller waits for the first event, after which the upstream is probed, and given up although it is alive. What is left then has to
 * suffice for the first event of another upstream. Nothing else ends the wait for a response that a runner has lost.
 */
const probedPatienceShare = 0.4;
const alivePatienceShare = 0.6;

/**
 * Decides whether a silent attempt is moved to another upstream. At high load a prompt waits for seconds at a runner that works on others: moving
 * it then costs a second prefill at a runner that is as busy. Only a runner that does not respond is given up early.
 */
export const decideOnSilence = (attempt: SilentAttempt): SilenceAction => {
    const { silentMs, maxSilenceMs, allowedMs, isAlive, firstEventMs = Number.POSITIVE_INFINITY, typicalMs = 0 } = attempt;
    const silenceLimitMs = Math.min(maxSilenceMs, Math.max(probedPatienceShare * firstEventMs, typicalMs));
    if (silentMs <= silenceLimitMs) {
        return SilenceAction.Wait;
    }
    if (isAlive === undefined) {
        return SilenceAction.Probe;
    }
    const aliveLimitMs = Math.min(Math.max(maxSilenceMs, maxAliveShare * allowedMs), Math.max(alivePatienceShare * firstEventMs, typicalMs));
    return !isAlive || silentMs > aliveLimitMs ? SilenceAction.FailOver : SilenceAction.Wait;
};

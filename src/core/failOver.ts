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
 * Decides whether a silent attempt is moved to another upstream. At high load a prompt waits for seconds at a runner that works on others: moving
 * it then costs a second prefill at a runner that is as busy. Only a runner that does not respond is given up early.
 */
export const decideOnSilence = ({ silentMs, maxSilenceMs, allowedMs, isAlive }: SilentAttempt): SilenceAction => {
    if (silentMs <= maxSilenceMs) {
        return SilenceAction.Wait;
    }
    if (isAlive === undefined) {
        return SilenceAction.Probe;
    }
    return !isAlive || silentMs > Math.max(maxSilenceMs, maxAliveShare * allowedMs) ? SilenceAction.FailOver : SilenceAction.Wait;
};

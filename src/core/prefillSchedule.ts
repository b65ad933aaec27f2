/** A prompt that a runner began to read. Times are on the monotonic clock. */
export interface ScheduledPrefill {
    readonly startedAt: number;
    readonly prefillMs: number;
    /** Whether it was sent without waiting, as a short one of an urgent route. */
    readonly isPassing: boolean;
}

/**
 * Part of an allowed gap that the reading of prompts may take. An event consists of several decoding steps, and a runner that always has prompts to read puts 107 ms of them
 * between two steps: two prompts of 9,190 tokens (478 ms) exceeded a gap of 600 ms. Half leaves room for the steps themselves and for short prompts, which do not wait.
 */
export const maxPrefillShare = 0.5;
/** Part of that time which short prompts that do not wait may take from the others: these would starve otherwise beside a steady flow of short ones. */
const maxPassingShare = 0.5;
/** A prompt that is read within this part of the allowed gap is short. */
export const shortPrefillShare = 0.1;

/** Whether the reading of a prompt hardly delays the events of streams. */
export const isShortPrefill = (prefillMs: number, gapMs: number): boolean => prefillMs < shortPrefillShare * gapMs;

/** Time for which a prompt counts: the allowed gap, or longer for a prompt that takes more than its part of one. */
const countedMs = (prefillMs: number, gapMs: number): number => Math.max(gapMs, prefillMs / maxPrefillShare);

/** Prompts that still count at a time. */
export const removePastPrefills = (prefills: readonly ScheduledPrefill[], gapMs: number, now: number): readonly ScheduledPrefill[] =>
    prefills.filter(({ startedAt, prefillMs }) => startedAt + countedMs(prefillMs, gapMs) > now);

/**
 * Time until a runner may begin to read a prompt that waits, so that within any time as long as the allowed gap it begins no more than half of that gap's worth of such
 * prompts. One that exceeds this alone begins when no other that waited counts.
 */
export const prefillWaitMs = (prefills: readonly ScheduledPrefill[], prefillMs: number, gapMs: number, now: number): number => {
    const allowedMs = maxPrefillShare * gapMs;
    let passingMs = 0;
    let waitedMs = 0;
    const waited: { readonly prefillMs: number; readonly endsAt: number; }[] = [];
    for (const prefill of prefills) {
        const endsAt = prefill.startedAt + countedMs(prefill.prefillMs, gapMs);
        if (endsAt <= now) {
            continue;
        }
        if (prefill.isPassing) {
            passingMs += prefill.prefillMs;
        }
        else {
            waitedMs += prefill.prefillMs;
            waited.push({ prefillMs: prefill.prefillMs, endsAt });
        }
    }
    const leftMs = allowedMs - Math.min(passingMs, maxPassingShare * allowedMs) - prefillMs;
    let waitMs = 0;
    for (const { prefillMs: pastMs, endsAt } of waited.sort((a, b) => a.endsAt - b.endsAt)) {
        if (waitedMs <= leftMs) {
            break;
        }
        waitedMs -= pastMs;
        waitMs = endsAt - now;
    }
    return waitMs;
};

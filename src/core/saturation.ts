import type { UpstreamChoice } from "./chooseUpstream";
import { stepMs } from "./chooseUpstream";

/** What a route allows its streams. */
export interface StreamObjectives {
    /** Time to the first event, ms. */
    readonly latencyObjectiveMs: number;
    /** Longest gap between two events, ms. */
    readonly eventGapObjectiveMs?: number;
}

/** Allowed gap between events for a route that sets none. */
const defaultEventGapObjectiveMs = 600;
/** A prompt whose prefill takes less than this share of the allowed gap does not delay other requests noticeably. */
const minDelayingShare = 1 / 15;
/** Prefill backlog allowed at a runner as a share of the latency objective, and its upper bound; behind it, a request still gets its first token in time. */
const maxBacklogShare = 0.45;
const maxBacklogMs = 450;
/** Share of the allowed gap above which a runner spends nearly all of its time on prefill. */
const maxGapShare = 0.3;
/** Gap relative to that of an idle runner; at twice the gap, half of the runner's time is spent on prefill. */
const maxGapFactor = 2;

/**
 * Whether a runner should get no further prompt of this size now: its streams would stall, or the prompt would be queued there. Answers bursts of
 * prompts for a model with few copies; what is held back is served from the node's queue in the order of what callers lose.
 */
export const isSaturated = (
    { candidate: { traffic, tokensPerEvent }, prefillMs }: UpstreamChoice,
    { latencyObjectiveMs, eventGapObjectiveMs = defaultEventGapObjectiveMs }: StreamObjectives,
): boolean => {
    const { waitingPrefillMs, eventGapMs = 0 } = traffic;
    const maxGapMs = Math.max(maxGapShare * eventGapObjectiveMs, maxGapFactor * tokensPerEvent * stepMs);
    return prefillMs >= minDelayingShare * eventGapObjectiveMs &&
        (waitingPrefillMs > Math.min(maxBacklogMs, maxBacklogShare * latencyObjectiveMs) || eventGapMs > maxGapMs);
};

/** Whether a runner can begin a request at once: it has a free slot, nothing is queued there, and no prefill is pending. A request is never refused for lack of capacity then. */
export const isFree = (choice: UpstreamChoice, objectives: StreamObjectives): boolean => {
    const { server, traffic } = choice.candidate;
    return traffic.load < server.slots && traffic.waiting === 0 && traffic.waitingPrefillMs <= 0 && !isSaturated(choice, objectives);
};

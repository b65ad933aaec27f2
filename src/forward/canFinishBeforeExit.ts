import type { Call } from "./call";
import type { Gateway } from "./gateway";

/** Time that a stopping node reserves for a plain request; a generation needs this and the time per output token. */
const plainRequestMs = 1_200;
const outputTokenMs = 8;
/** Average share of its maximum output tokens that a generation produces. */
const averageOutputShare = 0.5;
/** Callers that arrive within this time after the stop request have no other node yet; later, generations are refused so that they go to one. */
const noOtherNodeMs = 2_900;

/** Whether a request that arrives now can likely be answered before the process exits. */
export const canFinishBeforeExit = ({ exitDeadlineAt, stopRequestedAt }: Gateway, { caller }: Call): boolean => {
    const now = performance.now();
    if (now - stopRequestedAt > noOtherNodeMs && caller.modelRequest) {
        return false;
    }
    return now + plainRequestMs + averageOutputShare * (caller.modelRequest?.maxOutputTokens ?? 0) * outputTokenMs < exitDeadlineAt;
};

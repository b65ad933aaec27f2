import { EventId } from "../types/eventId";
import type { Verdict } from "../types/verdict";
import { emit } from "../utils/events";
import type { AnswerFraming } from "./answerFraming";
import type { AnswerRelay } from "./answerRelay";
import type { ReceivedBody } from "./attemptEnd";
import type { Call } from "./call";

/** How an attempt failed. */
export interface FailedAttempt {
    readonly upstream: string;
    readonly reason: string;
    readonly verdict: Verdict;
    /** When it was sent, on the monotonic clock. */
    readonly sentAt: number;
    /** How its answer was framed; undefined if no head arrived. */
    readonly framing: AnswerFraming | undefined;
    /** What arrived of its body. */
    readonly received: ReceivedBody | undefined;
}

/** Logs an attempt that failed. */
export const logAttemptFailed = (
    { caller: { requestId }, suspectParts }: Call,
    relay: AnswerRelay,
    { upstream, reason, verdict, sentAt, framing, received }: FailedAttempt,
): void =>
    emit(EventId.AttemptFailed, {
        request: requestId,
        upstream,
        kind: reason,
        verdict,
        afterMs: Math.round(performance.now() - sentAt),
        framing,
        answerParts: received?.parts,
        answerBytes: received?.bytes,
        lastEvent: relay.lastEventId,
        hasAnswered: relay.attemptEventAt !== undefined,
        suspectParts,
    });

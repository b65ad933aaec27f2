import { EventId } from "../types/eventId";
import { RequestStep } from "../types/requestStep";
import { emit } from "../utils/events";
import type { AttemptExecutor } from "./attemptExecutor";
import type { Call } from "./call";

/** Logs that a request was answered with the answer of an upstream. */
export const logAnswered = (
    { caller, route, startedAt, progress }: Call,
    { relay, end }: AttemptExecutor,
    upstream: string | undefined,
    sends: number,
): void => {
    progress.hasFinalLine = true;
    progress.step = RequestStep.Write;
    const isStream = relay.firstEventAt > 0;
    emit(EventId.RequestAnswered, {
        request: caller.requestId,
        route: route.name,
        upstream,
        peer: progress.peer,
        status: relay.head?.status,
        sends,
        framing: end?.framing,
        answerParts: end?.received?.parts,
        answerBytes: end?.received?.bytes,
        lastEvent: relay.lastEventId,
        firstByteMs: Math.round(relay.firstByteAt - startedAt),
        firstEventMs: isStream ? Math.round(relay.firstEventAt - startedAt) : undefined,
        maxEventGapMs: isStream ? Math.round(relay.maxEventGapMs) : undefined,
        model: caller.modelRequest?.model,
        afterMs: Math.round(performance.now() - startedAt),
    });
};

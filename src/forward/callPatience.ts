import type { UpstreamChoice } from "../core/chooseUpstream";
import { predictCompletionMs, predictFirstEventMs } from "../core/chooseUpstream";
import type { ServableTime, ServingNeed } from "../core/servableTime";
import { drawReturnMs, servableTimeOf } from "../core/servableTime";
import { EventId } from "../types/eventId";
import { FailureKind } from "../types/failureKind";
import { emit } from "../utils/events";
import type { Call } from "./call";
import type { Gateway } from "./gateway";
import type { Refusal } from "./refusal";

/** Whether the caller takes up a stream that it has received in part. */
export const takesStreamUp = ({ caller }: Call): boolean => caller.lastEventId !== undefined;

/** By when a request has to be served; `exitMarginMs` before the exit of a stopping node it counts as too late. */
export const servableTimeOfCall = ({ exitDeadlineAt }: Gateway, call: Call, exitMarginMs = 0): ServableTime =>
    servableTimeOf({
        startedAt: call.startedAt,
        deadlineAt: Math.min(call.deadlineAt, exitDeadlineAt - exitMarginMs),
        patienceMs: call.route.patienceMs,
        hasPart: takesStreamUp(call) || call.res.headersSent,
    });

/**
 * Predicted times of an answer of the chosen upstream, with `ahead` requests served before it. How much of a stream that is taken up remains is not known: only its
 * next event counts.
 */
export const servingNeedOf = (call: Call, choice: UpstreamChoice, ahead = 0): ServingNeed => {
    const { modelRequest } = call.caller;
    const isWhole = modelRequest !== undefined && !takesStreamUp(call);
    const firstEventMs = isWhole ? predictFirstEventMs(choice, ahead) : choice.predictedMs;
    return { firstEventMs, completionMs: isWhole ? predictCompletionMs(choice, modelRequest, ahead) : firstEventMs };
};

/** What a request would have to wait for, if it were not refused. */
export enum LateStep {
    Queue = "queue",
    Model = "model",
}

/** Why the first event of a stream would come after its caller has given up. */
export interface LateFirstEvent {
    readonly step: LateStep;
    /** Predicted time until the first event, and the time that its caller waits for it. */
    readonly expectedMs: number;
    readonly allowedMs: number;
    /** Time until a request that arrives then is served in time. */
    readonly roomInMs: number;
    /** What is waited for. */
    readonly upstream?: string;
    readonly model?: string;
    /** Requests that are served before this one. */
    readonly ahead?: number;
    /** Age of the load that the upstream stated last; undefined if it stated none. */
    readonly loadAgeMs?: number;
}

const kinds: Readonly<Record<LateStep, FailureKind>> = { [LateStep.Queue]: FailureKind.CapacityShort, [LateStep.Model]: FailureKind.ModelLate };

/** Refuses a request whose first event would come after its caller has given up, and logs what that was decided from. */
export const refuseLate = (gateway: Gateway, call: Call, late: LateFirstEvent): Refusal => {
    const { step, expectedMs, allowedMs, roomInMs, loadAgeMs, ...inputs } = late;
    const retryAfterMs = drawReturnMs(Math.max(0, roomInMs), call.deadlineAt - performance.now(), gateway.random);
    emit(EventId.FirstEventTooLate, {
        request: call.caller.requestId,
        step,
        expectedMs: Math.round(expectedMs),
        allowedMs: Math.round(allowedMs),
        retryAfterMs: Math.round(retryAfterMs),
        loadAgeMs: loadAgeMs === undefined || !Number.isFinite(loadAgeMs) ? undefined : Math.round(loadAgeMs),
        ...inputs,
    });
    const detail = `the first event would take ${Math.round(expectedMs)} ms, and the caller gives up in ${Math.round(allowedMs)} ms`;
    return { kind: kinds[step], detail, retryAfterMs, isSpread: true };
};

import type { Call } from "./call";
import type { Gateway } from "./gateway";

/** Least time that a stopping node reserves for a plain request; a generation needs this and the time per output token. */
const minRequestMs = 1_200;
const outputTokenMs = 8;
/** Average share of its maximum output tokens that a generation produces. */
const averageOutputShare = 0.5;
/** Allowance for answers that take longer than the average of their upstream. */
const slowAnswerFactor = 1.4;
/** Callers that arrive within this time after the stop request have no other node yet; later, requests that may not end in time are refused so that they go to one. */
const noOtherNodeMs = 2_900;

/** Time that a request is expected to take, from what the upstreams of its service were seen to take. */
const expectedMs = (gateway: Gateway, { service, caller: { modelRequest } }: Call): number => {
    const slowestMs = Math.max(0, ...gateway.availability.servingOf(service).map(({ id }) => gateway.trafficOf(id).firstByteMs ?? 0));
    return Math.max(minRequestMs, slowAnswerFactor * slowestMs) + averageOutputShare * (modelRequest?.maxOutputTokens ?? 0) * outputTokenMs;
};

/** Whether a request that has waited is likely to be answered before the process exits, if it is sent now. */
export const mayFinishBeforeExit = (gateway: Gateway, call: Call): boolean =>
    call.deadlineAt <= gateway.exitDeadlineAt || performance.now() + expectedMs(gateway, call) < gateway.exitDeadlineAt;

/** Whether a request that arrives now comes too late in a planned stop to be certain of an answer before the process exits; its head tells. */
export const isTooLateInStop = ({ exitDeadlineAt, stopRequestedAt }: Gateway, { caller, deadlineAt }: Pick<Call, "caller" | "deadlineAt">): boolean =>
    performance.now() - stopRequestedAt > noOtherNodeMs && (caller.modelRequest !== undefined || deadlineAt > exitDeadlineAt);

/** Whether a request that arrives now is answered before the process exits: certainly if it arrives late in a planned stop, otherwise likely. */
export const canFinishBeforeExit = (gateway: Gateway, call: Call): boolean => !isTooLateInStop(gateway, call) && mayFinishBeforeExit(gateway, call);

import type { UpstreamCandidate } from "../core/chooseUpstream";
import type { UpstreamTraffic } from "../core/upstreamTraffic";
import { artifactKey } from "../types/modelRequest";
import type { AnswerHeaders } from "../types/requestHeaderCodec";
import { AttemptOutcome } from "./attemptOutcome";
import type { Call } from "./call";
import type { Gateway } from "./gateway";

/** Weight of a failed run in an upstream's count of recent failures; a lost answer counts 1. */
export const failedRunWeight = 0.5;
export const minServerErrorStatus = 500;

/** Weight of a refusal in an upstream's count of recent failures. */
const refusalWeight = 0.3;

/** Counts a failure, unless the answer asks for quiet: that is saturation, and the time it asks for is its only effect. */
export const countFailure = (traffic: UpstreamTraffic, decoded: AnswerHeaders | undefined, weight?: number): void => {
    if (decoded?.quietMs === undefined) {
        traffic.onFailure(weight);
    }
};

/**
 * Records that an upstream did not run a request: it lacks the model or adapter, or refuses, so that the next requests for it go elsewhere. One whose load takes
 * longer than expected has not failed, and may get the request later.
 */
export const recordRefusal = (
    { residency }: Gateway,
    { caller: { modelRequest } }: Call,
    decoded: AnswerHeaders,
    { server: { id }, traffic, isModelExpected }: UpstreamCandidate,
): AttemptOutcome => {
    if (modelRequest && isModelExpected && decoded.quietMs === undefined) {
        residency.onTooEarly(id, modelRequest.model);
        return AttemptOutcome.TooEarly;
    }
    if (modelRequest && decoded.isMisdirected) {
        residency.onAbsent(id, modelRequest.model, artifactKey(modelRequest.model, modelRequest.adapter));
    }
    else if (modelRequest && decoded.quietMs === undefined) {
        residency.onRefused(id, modelRequest.model);
    }
    countFailure(traffic, decoded, refusalWeight);
    return AttemptOutcome.NotRun;
};

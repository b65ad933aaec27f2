import type { ModelRequest } from "../types/modelRequest";
import type { ServiceSpeeds } from "../types/serviceSpeeds";
import type { UpstreamServer } from "../types/upstreamServer";
import type { Random } from "../utils/random";
import { assumedSpeeds } from "./assumedSpeeds";
import { drawBetterOfTwo } from "./drawBetterOfTwo";
import type { UpstreamTraffic } from "./upstreamTraffic";
import type { LeavingRequest, ZoneSpill } from "./zoneSpill";
import { assumedCrossZoneMs } from "./zoneSpill";

/** Added to the predicted time for each recent failure. */
const failurePenaltyMs = 400;
/** Time of one decoding step of a batch that is assumed for all services. */
export const { stepMs } = assumedSpeeds;
/** Estimated delay for each request that is queued at the runner. */
const queuedRequestMs = 40;

/** An upstream that could take a request. */
export interface UpstreamCandidate {
    readonly server: UpstreamServer;
    readonly traffic: UpstreamTraffic;
    /** Prompt tokens that it would have to prefill; 0 for plain services. */
    readonly prefillTokens: number;
    /** Tokens in one event of its streams: it sends an event after as many decoding steps. */
    readonly tokensPerEvent: number;
    /** Speeds of its service; the assumed ones if they are missing. */
    readonly speeds?: ServiceSpeeds;
    /** Factor on the prefill and step times, for the model's speed; 1 for plain services. */
    readonly timeFactor: number;
    /** Added for a limit that the upstream has named; undefined without one. */
    readonly turnDelayMs?: number;
    /** Whether the model is only expected there. */
    readonly isModelExpected?: boolean;
}

/** The chosen upstream with the predicted time to the first byte. */
export interface UpstreamChoice {
    readonly candidate: UpstreamCandidate;
    readonly predictedMs: number;
    /** Part of `predictedMs` that also delays the requests queued behind this one. */
    readonly prefillMs: number;
}

/** Estimated time in which a runner prefills a prompt. */
export const estimatePrefillMs = (tokens: number, timeFactor: number, { prefillMsPerToken } = assumedSpeeds): number => tokens * timeFactor * prefillMsPerToken;

/** Assumed gap between two events of a runner whose load is not known, relative to that of an idle one: prompts are read between the steps. */
const idleGapFactor = 1.6;
/** Average output of a generation as a share of its maximum output tokens. */
const averageOutputShare = 0.5;

/** Predicted time until a generation's first event, with `ahead` requests served before it. */
export const predictFirstEventMs = ({ candidate: { traffic }, predictedMs, prefillMs }: UpstreamChoice, ahead: number): number =>
    predictedMs + ahead * prefillMs * traffic.pace;

/** Predicted time until a generation's last token, with `ahead` requests served before it. */
export const predictCompletionMs = (
    choice: UpstreamChoice,
    { maxOutputTokens }: ModelRequest,
    ahead: number,
): number => {
    const { traffic, tokensPerEvent, timeFactor, speeds = assumedSpeeds } = choice.candidate;
    const eventGapMs = traffic.eventGapMs ?? idleGapFactor * tokensPerEvent * speeds.stepMs * timeFactor * traffic.pace;
    const streamMs = averageOutputShare * maxOutputTokens / tokensPerEvent * eventGapMs;
    return predictFirstEventMs(choice, ahead) + streamMs;
};

/** Average share of a prompt that is not in its runner's prefix cache and has to be prefilled. */
const uncachedShare = 0.6;

/** Runner time for one generated token when the batch is well filled. */
const outputTokenMs = 0.06;

/** Estimated runner time that a generation uses. */
export const estimateWorkMs = ({ promptTokens, maxOutputTokens }: ModelRequest): number =>
    estimatePrefillMs(promptTokens * uncachedShare, 1) + maxOutputTokens * outputTokenMs;

/** Predicted time to the first byte within the zone of the upstream. Times of work at the upstream are multiplied by its pace; an event gap is measured and contains it. */
const predictFirstByteMs = (candidate: UpstreamCandidate): UpstreamChoice["predictedMs"] => {
    const { server, traffic, prefillTokens, tokensPerEvent, timeFactor, speeds = assumedSpeeds } = candidate;
    const { pace } = traffic;
    if (prefillTokens === 0) {
        const latency = (traffic.firstByteMs ?? speeds.plainMs) * pace;
        return latency * Math.max(1, (traffic.load + 1) / Math.max(1, server.slots)) +
            latency * 0.1 * traffic.load / Math.max(1, server.slots);
    }
    const firstEventMs = Math.max(tokensPerEvent * (speeds.stepMs + speeds.stepMsPerRequest * traffic.load) * timeFactor * pace, traffic.eventGapMs ?? 0);
    return firstEventMs +
        pace * (traffic.waitingPrefillMs + estimatePrefillMs(prefillTokens, timeFactor, speeds) + queuedRequestMs * traffic.waiting);
};

/** What is added to the predicted time for recent failures, unreachability and named limits. */
const penaltyMsOf = ({ traffic, turnDelayMs = 0 }: UpstreamCandidate): number =>
    failurePenaltyMs * traffic.recentFailures + (traffic.isUnreachable ? 10 * failurePenaltyMs : 0) + turnDelayMs;

/** Predictions and costs of the candidates of one choice, kept so that a choice allocates nothing for each candidate. */
const scratch = { predicted: new Float64Array(0), costs: new Float64Array(0) };

const reserveScratch = (size: number): void => {
    if (scratch.costs.length < size) {
        scratch.predicted = new Float64Array(2 * size);
        scratch.costs = new Float64Array(2 * size);
    }
};

/** Index of the candidate with the lowest cost. */
const findBest = (count: number): number => {
    let best = 0;
    for (let index = 1; index < count; index++) {
        if (scratch.costs[index]! < scratch.costs[best]!) {
            best = index;
        }
    }
    return best;
};

/** Which zones the request may leave for, and at which cost. */
export interface ZoneChoice {
    readonly request: LeavingRequest;
    readonly spill: ZoneSpill;
}

/**
 * Chooses the upstream with the shortest predicted time to the first byte. Recent failures and unreachability add a penalty. Where upstreams report a pace, or the zones are uneven, and `random` is given, it is the better of two that are drawn, so that nodes with the same figures do not all choose the
 * same one. Without `zones`, any zone may be chosen.
 */
export const chooseUpstream = (candidates: readonly UpstreamCandidate[], zone: string, random?: Random, zones?: ZoneChoice): UpstreamChoice | undefined => {
    const count = candidates.length;
    if (count === 0) {
        return undefined;
    }
    reserveScratch(count);
    const { predicted, costs } = scratch;
    let hasPace = false;
    for (let index = 0; index < count; index++) {
        predicted[index] = predictFirstByteMs(candidates[index]!);
        hasPace ||= candidates[index]!.traffic.reportsPace;
    }
    zones?.spill.begin(zones.request, candidates, predicted);
    for (let index = 0; index < count; index++) {
        const { server } = candidates[index]!;
        const crossingMs = zones ? zones.spill.costMsOf(server.availabilityZone) : server.availabilityZone === zone ? 0 : assumedCrossZoneMs;
        costs[index] = predicted[index]! + crossingMs + penaltyMsOf(candidates[index]!);
    }
    const best = findBest(count);
    const draws = hasPace || zones?.spill.areZonesUneven === true;
    const chosen = draws && random ? drawBetterOfTwo(candidates, costs, costs[best]!, zone, random) : best;
    const candidate = candidates[chosen]!;
    const { availabilityZone } = candidate.server;
    zones?.spill.end(availabilityZone);
    const delayMs = zones ? zones.spill.delayMsOf(availabilityZone) : availabilityZone === zone ? 0 : assumedCrossZoneMs;
    return {
        candidate,
        predictedMs: predicted[chosen]! + delayMs,
        prefillMs: estimatePrefillMs(candidate.prefillTokens, candidate.timeFactor, candidate.speeds),
    };
};

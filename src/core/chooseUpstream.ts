import type { ModelRequest } from "../types/modelRequest";
import type { UpstreamServer } from "../types/upstreamServer";
import type { UpstreamTraffic } from "./upstreamTraffic";

/** Round-trip time added by a request to another availability zone. */
const crossZoneMs = 3;
/** Latency assumed for an upstream that has not answered yet. */
const defaultLatencyMs = 60;
/** Added to the predicted time for each recent failure. */
const failurePenaltyMs = 400;
/** Prompt tokens that a runner prefills in a millisecond, assumed while its own speed is not known. */
const prefillTokensPerMs = 38;
/** Time of one decoding step of a batch, and the time that each further request in the batch adds to it. */
export const stepMs = 5.5;
const stepMsPerRequest = 0.05;
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
export const estimatePrefillMs = (tokens: number, timeFactor: number): number => tokens * timeFactor / prefillTokensPerMs;

/** Assumed gap between two events of a runner whose load is not known, relative to that of an idle one: prompts are read between the steps. */
const idleGapFactor = 1.6;
/** Average output of a generation as a share of its maximum output tokens. */
const averageOutputShare = 0.5;

/** Predicted time until a generation's first event, with `ahead` requests served before it. */
export const predictFirstEventMs = ({ predictedMs, prefillMs }: UpstreamChoice, ahead: number): number => predictedMs + ahead * prefillMs;

/** Predicted time until a generation's last token, with `ahead` requests served before it. */
export const predictCompletionMs = (
    choice: UpstreamChoice,
    { maxOutputTokens }: ModelRequest,
    ahead: number,
): number => {
    const { traffic, tokensPerEvent } = choice.candidate;
    const eventGapMs = traffic.eventGapMs ?? idleGapFactor * tokensPerEvent * stepMs;
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

const predictFirstByteMs = ({ server, traffic, prefillTokens, tokensPerEvent, timeFactor }: UpstreamCandidate, zone: string): UpstreamChoice["predictedMs"] => {
    const crossZoneDelayMs = server.availabilityZone === zone ? 0 : crossZoneMs;
    if (prefillTokens === 0) {
        const latency = traffic.firstByteMs ?? defaultLatencyMs;
        return crossZoneDelayMs + latency * Math.max(1, (traffic.load + 1) / Math.max(1, server.slots)) +
            latency * 0.1 * traffic.load / Math.max(1, server.slots);
    }
    const firstEventMs = Math.max(tokensPerEvent * (stepMs + stepMsPerRequest * traffic.load) * timeFactor, traffic.eventGapMs ?? 0);
    return crossZoneDelayMs + traffic.waitingPrefillMs + estimatePrefillMs(prefillTokens, timeFactor) + firstEventMs + queuedRequestMs * traffic.waiting;
};

/** Chooses the upstream with the shortest predicted time to the first byte. Recent failures and unreachability add a penalty. */
export const chooseUpstream = (candidates: readonly UpstreamCandidate[], zone: string): UpstreamChoice | undefined => {
    let best: UpstreamChoice | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    for (const candidate of candidates) {
        const predictedMs = predictFirstByteMs(candidate, zone);
        const { traffic } = candidate;
        const cost = predictedMs + failurePenaltyMs * traffic.recentFailures + (traffic.isUnreachable ? 10 * failurePenaltyMs : 0) +
            (candidate.turnDelayMs ?? 0);
        if (cost < bestCost) {
            bestCost = cost;
            best = { candidate, predictedMs, prefillMs: estimatePrefillMs(candidate.prefillTokens, candidate.timeFactor) };
        }
    }
    return best;
};

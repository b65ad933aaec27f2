import type { ModelRequest } from "../types/modelRequest";
import type { UpstreamServer } from "../types/upstreamServer";
import type { UpstreamTraffic } from "./upstreamTraffic";

/** Time that a request loses on its way to another zone and back. */
const crossZoneMs = 3;
/** Latency assumed for an upstream that has not answered yet. */
const assumedLatencyMs = 60;
/** Added to the predicted time for each recent failure. */
const failurePenaltyMs = 400;
/** Prompt tokens that a runner reads in a millisecond, before its pace is known. */
const prefillTokensPerMs = 38;
/** Time of one step of a batch, and what each further request in it adds. */
const stepMs = 5.5;
const stepMsPerRequest = 0.05;
/** Steps until the first event of a stream leaves. */
const firstEventSteps = 5;
/** Time that each request waiting at the runner is thought to add. */
const waitingMs = 40;

/** An upstream that could take a request. */
export interface UpstreamCandidate {
    readonly server: UpstreamServer;
    readonly traffic: UpstreamTraffic;
    /** Prompt tokens that it would have to read; 0 for plain services. */
    readonly prefillTokens: number;
    /** Factor of the model's speed; 1 for plain services. */
    readonly timeFactor: number;
}

/** A choice with the time to the first byte that it promises. */
export interface UpstreamChoice {
    readonly candidate: UpstreamCandidate;
    readonly predictedMs: number;
    /** Part of it that the request adds for those after it. */
    readonly prefillMs: number;
}

/** Time in which a runner reads a prompt. */
export const estimatePrefillMs = (tokens: number, pace: number): number => tokens * pace / prefillTokensPerMs;

/** A prompt that is read this fast delays nobody. */
const lightPrefillMs = 40;
/** Prefill that may wait at a runner: with its own prompt, a request still gets its first token within a second. */
const maxBacklogMs = 450;
/** Share of the allowed pause between events above which a runner reads prompts nearly all the time. */
const stalledShare = 0.3;
/** Pause that is taken for allowed where a route names none. */
const usualGapTargetMs = 600;
/** Tokens in one event of a stream, and the pause between two events of a runner that is not busy. */
const eventTokens = 4;
const usualEventGapMs = 35;
/** Share of its most tokens that a generation makes on average. */
const usualOutputShare = 0.5;

/** Whether a runner should get no further prompt of this size now: its streams would stall, and the prompt would wait. */
export const isSaturated = ({ candidate: { traffic }, prefillMs }: UpstreamChoice, gapTargetMs = usualGapTargetMs): boolean => {
    const { waitingPrefillMs, eventGapMs = 0 } = traffic;
    return prefillMs >= lightPrefillMs && (waitingPrefillMs > maxBacklogMs || eventGapMs > stalledShare * gapTargetMs);
};

/** Time until a generation's last token, where others go before it. */
export const predictCompletionMs = (
    { candidate: { traffic }, predictedMs, prefillMs }: UpstreamChoice,
    { maxOutputTokens }: ModelRequest,
    before: number,
): number => {
    const streamMs = usualOutputShare * maxOutputTokens / eventTokens * (traffic.eventGapMs ?? usualEventGapMs);
    return predictedMs + before * prefillMs + streamMs;
};

/** Share of a prompt that is not kept at its runner, on average. */
const unkeptShare = 0.6;
/** What one generated token takes of a runner's time when its batch is well filled. */
const outputTokenMs = 0.06;

/** Milliseconds of a runner's time that a generation asks for. */
export const estimateWorkMs = ({ promptTokens, maxOutputTokens }: ModelRequest): number =>
    estimatePrefillMs(promptTokens * unkeptShare, 1) + maxOutputTokens * outputTokenMs;

const predict = ({ server, traffic, prefillTokens, timeFactor: pace }: UpstreamCandidate, zone: string): UpstreamChoice["predictedMs"] => {
    const away = server.availabilityZone === zone ? 0 : crossZoneMs;
    if (prefillTokens === 0) {
        const latency = traffic.firstByteMs ?? assumedLatencyMs;
        return away + latency * Math.max(1, (traffic.load + 1) / Math.max(1, server.slots)) + latency * 0.1 * traffic.load / Math.max(1, server.slots);
    }
    const steps = Math.max(firstEventSteps * (stepMs + stepMsPerRequest * traffic.load) * pace, traffic.eventGapMs ?? 0);
    return away + traffic.waitingPrefillMs + estimatePrefillMs(prefillTokens, pace) + steps + waitingMs * traffic.waiting;
};

/** The upstream that should answer first; one that fails or cannot be reached counts as slower. */
export const chooseUpstream = (candidates: readonly UpstreamCandidate[], zone: string): UpstreamChoice | undefined => {
    let best: UpstreamChoice | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    for (const candidate of candidates) {
        const predictedMs = predict(candidate, zone);
        const { traffic } = candidate;
        const cost = predictedMs + failurePenaltyMs * traffic.recentFailures + (traffic.isUnreachable ? 10 * failurePenaltyMs : 0);
        if (cost < bestCost) {
            bestCost = cost;
            best = { candidate, predictedMs, prefillMs: estimatePrefillMs(candidate.prefillTokens, candidate.timeFactor) };
        }
    }
    return best;
};

import type { UpstreamChoice } from "../core/chooseUpstream";
import { isFree, isSaturated } from "../core/saturation";
import type { ServableTime, ServingNeed } from "../core/servableTime";
import { firstEventLeftMs, isFirstEventTooLate } from "../core/servableTime";
import { FailureKind } from "../types/failureKind";
import type { ModelRequest } from "../types/modelRequest";
import { artifactKey } from "../types/modelRequest";
import type { PlacementAnswer } from "../types/placement";
import { sleep } from "../utils/time";
import type { Call } from "./call";
import { LateStep, refuseLate, servableTimeOfCall, servingNeedOf, takesStreamUp } from "./callPatience";
import type { Gateway } from "./gateway";
import { admitsGenerations } from "./generationTerms";
import { isPathLost, unreachableRefusal } from "./peerPath";
import type { QuarantineGate } from "./quarantineGate";
import type { Refusal } from "./refusal";
import { selectUpstream } from "./selectUpstream";
import { unreachableRunners } from "./unreachableRunners";
import { allowsUpstream, constraintOf } from "./versionPin";
import { waitForQuiet } from "./waitForQuiet";

/** Bounds of the interval between two requests to the controller. */
const maxPollIntervalMs = 250;
const minPollIntervalMs = 20;
/** Minimum time that a request needs once its model is ready, and that a stream needs which is taken up: only its next event has to come in time. */
const minServeMs = 300;
/** What a request needs at least once its model is ready. */
const serveNeed: ServingNeed = { firstEventMs: minServeMs, completionMs: minServeMs };
const minTakeUpServeMs = 100;
/** Minimum share of a request's time that must remain for it to wait for a new controller, which takes over within seconds. */
const minRemainingShareWithoutController = 0.55;
/** Retry delay given to callers if no upstream is known to become available. */
const defaultRetryAfterMs = 1_000;

/** Interval at which runners are checked for free capacity. */
const capacityPollIntervalMs = 25;
/** Minimum retry delay given to callers that are refused for lack of capacity. */
const minCapacityRetryAfterMs = 500;
/** Minimum retry delay given to callers whose request is in quarantine. */
const minQuarantineRetryAfterMs = 10_000;

/** Whether no upstream was found. */
export const isRefusal = (result: UpstreamChoice | Refusal): result is Refusal => "detail" in result;

/** Refuses a request that is in quarantine, itself or by parts of its prompt; undefined if it may be sent. */
export const refuseQuarantined = (gateway: Gateway, gate: QuarantineGate): Refusal | undefined => {
    const { blocking } = gate;
    return blocking && {
        kind: FailureKind.PromptQuarantined,
        detail: `${blocking.crashes.length} runners crashed on requests with ${blocking.parts.join(", ")}`,
        retryAfterMs: Math.max(minQuarantineRetryAfterMs, gateway.crashLog.trialInMs(blocking)),
    };
};

/**
 * Waits in the request queue until the selected runner has free capacity; a request that cannot be answered in time is refused immediately. A stream that is taken
 * up is not queued: it began before those in the queue.
 */
const waitForCapacity = async (
    gateway: Gateway,
    call: Call,
    modelRequest: ModelRequest,
    tried: ReadonlySet<string>,
    gate: QuarantineGate,
): Promise<UpstreamChoice | Refusal | undefined> => {
    const queuedRequest = { firstTokenDueAt: call.startedAt + call.route.latencyObjectiveMs, priority: call.priority };
    try {
        while (!call.signal.aborted) {
            const refusal = isPathLost(gateway) ? unreachableRefusal : refuseQuarantined(gateway, gate);
            const choice = refusal ? undefined : selectUpstream(gateway, call, tried);
            if (!choice) {
                return refusal;
            }
            const ahead = gateway.queue.countAhead(modelRequest.model, queuedRequest);
            // A stopping node refuses waiting requests before it exits.
            const time = servableTimeOfCall(gateway, call, maxPollIntervalMs);
            const need = servingNeedOf(call, choice, ahead);
            const now = performance.now();
            const isLate = isFirstEventTooLate(time, need, 0, now);
            if (isLate && !isFree(choice, call.route)) {
                return refuseLate(gateway, call, {
                    step: LateStep.Queue,
                    expectedMs: need.firstEventMs,
                    allowedMs: firstEventLeftMs(time, now),
                    roomInMs: Math.max(minCapacityRetryAfterMs, need.firstEventMs - call.route.latencyObjectiveMs),
                    upstream: choice.candidate.server.id,
                    model: modelRequest.model,
                    ahead,
                    loadAgeMs: choice.candidate.traffic.reportAgeMs,
                });
            }
            const isRefusable = time.firstEventBy === undefined || !isFree(choice, call.route);
            if (isRefusable && need.completionMs > time.completeBy - now && choice.predictedMs > call.route.latencyObjectiveMs) {
                return {
                    detail: `an answer would take ${Math.round(need.completionMs)} ms, longer than the request allows`,
                    retryAfterMs: Math.max(minCapacityRetryAfterMs, choice.predictedMs - call.route.latencyObjectiveMs),
                };
            }
            if (takesStreamUp(call) || admitsGenerations(gateway, call.service) || (ahead === 0 && !isSaturated(choice, call.route))) {
                return choice;
            }
            gateway.queue.add(modelRequest.model, queuedRequest);
            await sleep(capacityPollIntervalMs, call.signal);
            await call.presence.confirm();
        }
        return undefined;
    }
    finally {
        gateway.queue.remove(modelRequest.model, queuedRequest);
    }
};

/**
 * Whether a request may wait for its model or adapter. A stream that is taken up waits as long as one can be ready in time: its caller loses what it has if it is
 * refused.
 */
const mayWait = (call: Call, { isComing, isUncertain, readyInMs }: PlacementAnswer, time: ServableTime, now: number): boolean => {
    const remainingMs = time.completeBy - now;
    if (takesStreamUp(call)) {
        return (isComing || isUncertain === true) && readyInMs + minTakeUpServeMs <= remainingMs;
    }
    return isUncertain
        ? remainingMs > minRemainingShareWithoutController * (call.deadlineAt - call.startedAt) && !isFirstEventTooLate(time, serveNeed, 0, now)
        : isComing && readyInMs + minServeMs <= firstEventLeftMs(time, now);
};

/** Whether a placement names a runner of another software version, as controllers of earlier releases may. */
const isOfOtherVersion = (gateway: Gateway, call: Call, runner: string | undefined): boolean => {
    const server = runner === undefined ? undefined : gateway.directory.get(runner);
    return server !== undefined && !allowsUpstream(call.versionPin, server);
};

/** Ready upstreams that take no requests now by their own word. */
const unavailableOf = ({ directory, availability }: Gateway, service: string): readonly string[] =>
    directory.readyOf(service).filter(server => !availability.mayCall(server)).map(({ id }) => id);

/** Selects an upstream for a request; waits for its model or adapter, and for free capacity, as long as an answer in time is likely. */
export const waitForUpstream = async (
    gateway: Gateway,
    call: Call,
    tried: ReadonlySet<string>,
    gate: QuarantineGate,
): Promise<UpstreamChoice | Refusal> => {
    const { modelRequest } = call.caller;
    while (!call.signal.aborted) {
        if (isPathLost(gateway)) {
            return unreachableRefusal;
        }
        const choice = modelRequest ? await waitForCapacity(gateway, call, modelRequest, tried, gate) : selectUpstream(gateway, call, tried);
        if (choice) {
            return choice;
        }
        const quiet = await waitForQuiet(gateway, call, tried);
        if (quiet.hasWaited) {
            continue;
        }
        if (!modelRequest) {
            return quiet.refusal ?? { detail: "no upstream of the service is ready", retryAfterMs: defaultRetryAfterMs };
        }
        const answer = await gateway.placement.place({
            service: call.service,
            model: modelRequest.model,
            adapter: modelRequest.adapter,
            versions: constraintOf(call.versionPin),
            avoid: [...tried, ...unavailableOf(gateway, call.service)],
            unreachable: unreachableRunners(gateway, tried),
        });
        const { runner, readyInMs } = answer;
        const isComing = answer.isComing && !isOfOtherVersion(gateway, call, runner);
        const isUncertain = answer.isUncertain === true && !quiet.refusal;
        const time = servableTimeOfCall(gateway, call, maxPollIntervalMs);
        const now = performance.now();
        if (!mayWait(call, { readyInMs, isComing, isUncertain }, time, now)) {
            if (!quiet.refusal && isFirstEventTooLate(time, serveNeed, isComing ? readyInMs : 0, now)) {
                return refuseLate(gateway, call, {
                    step: LateStep.Model,
                    expectedMs: readyInMs + minServeMs,
                    allowedMs: firstEventLeftMs(time, now),
                    roomInMs: readyInMs || defaultRetryAfterMs,
                    upstream: runner,
                    model: modelRequest.model,
                });
            }
            return quiet.refusal ?? {
                detail: isComing
                    ? `the model or adapter would be ready in ${Math.round(readyInMs)} ms, too late for the request`
                    : "no available runner is known to have the model or adapter, or to be loading it",
                retryAfterMs: readyInMs || defaultRetryAfterMs,
            };
        }
        await sleep(Math.min(maxPollIntervalMs, Math.max(minPollIntervalMs, readyInMs)), call.signal);
        if (runner !== undefined && readyInMs < maxPollIntervalMs && answer.isExpected === true) {
            gateway.residency.expectModel(runner, modelRequest.model);
        }
        else if (runner !== undefined && readyInMs < maxPollIntervalMs) {
            gateway.residency.addModel(runner, modelRequest.model);
            if (modelRequest.adapter !== undefined) {
                gateway.residency.addAdapter(runner, artifactKey(modelRequest.model, modelRequest.adapter));
            }
        }
    }
    return { detail: "the caller disconnected", retryAfterMs: defaultRetryAfterMs };
};

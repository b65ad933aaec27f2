import type { UpstreamChoice } from "../core/chooseUpstream";
import { isSaturated, predictCompletionMs } from "../core/chooseUpstream";
import type { ModelRequest } from "../types/modelRequest";
import { artifactKey } from "../types/modelRequest";
import { sleep } from "../utils/time";
import type { Call } from "./call";
import type { Gateway } from "./gateway";
import { selectUpstream } from "./selectUpstream";

/** Longest pause between two questions to the controller. */
const maxPauseMs = 250;
const minPauseMs = 20;
/** Time that a request needs after its model is ready, at least. */
const serveMs = 300;
/** Part of a request's time that must be left while it waits for a new controller, which comes within seconds. */
const uncertainShare = 0.55;
/** When to come back where nothing is known to be on its way. */
const unknownRetryMs = 1_000;

/** Pause between two looks whether a runner has room. */
const roomCheckMs = 25;
/** Least time after which a refused caller finds more room. */
const minRoomRetryMs = 500;

/** Time until the final answer; a stopping node refuses what waits before it ends. */
const timeLeft = (gateway: Gateway, call: Call): number => Math.min(call.deadlineAt, gateway.exitDeadlineAt - maxPauseMs) - performance.now();

/** Why a request is not sent; it has not run. */
export interface Refusal {
    readonly detail: string;
    readonly retryAfterMs: number;
}

/** Whether the search ended without an upstream. */
export const isRefusal = (found: UpstreamChoice | Refusal): found is Refusal => "detail" in found;

/** Waits until a chosen runner has room, in the order of the queue of requests; a request that cannot be answered in time is refused at once. */
const awaitRoom = async (gateway: Gateway, call: Call, need: ModelRequest, met: ReadonlySet<string>): Promise<UpstreamChoice | Refusal | undefined> => {
    const waiter = { firstTokenDueAt: call.startedAt + call.route.latencyObjectiveMs, priority: call.route.priority };
    try {
        while (!call.signal.aborted) {
            const choice = selectUpstream(gateway, call, met);
            if (!choice) {
                return undefined;
            }
            const before = gateway.queue.countAhead(need.model, waiter);
            const leftMs = timeLeft(gateway, call);
            const neededMs = predictCompletionMs(choice, need, before);
            if (neededMs > leftMs && choice.predictedMs > call.route.latencyObjectiveMs) {
                return {
                    detail: `an answer takes ${Math.round(neededMs)} ms`,
                    retryAfterMs: Math.max(minRoomRetryMs, choice.predictedMs - call.route.latencyObjectiveMs),
                };
            }
            if (before === 0 && !isSaturated(choice, call.route.eventGapObjectiveMs)) {
                return choice;
            }
            gateway.queue.add(need.model, waiter);
            await sleep(roomCheckMs, call.signal);
        }
        return undefined;
    }
    finally {
        gateway.queue.remove(need.model, waiter);
    }
};

/** Finds an upstream for a request; waits for its model or adapter, and for room there, while that promises an answer in time. */
export const waitForUpstream = async (gateway: Gateway, call: Call, met: ReadonlySet<string>): Promise<UpstreamChoice | Refusal> => {
    const { modelRequest: need } = call.caller;
    while (!call.signal.aborted) {
        const choice = need ? await awaitRoom(gateway, call, need, met) : selectUpstream(gateway, call, met);
        if (choice) {
            return choice;
        }
        if (!need) {
            return { detail: "no upstream of the service is ready", retryAfterMs: unknownRetryMs };
        }
        const { runner, readyInMs, isComing, isUncertain } = await gateway.placement.place({
            service: call.service,
            model: need.model,
            adapter: need.adapter,
            avoid: [...met],
            unreachable: [...met].filter(id => gateway.trafficOf(id).isUnreachable),
        });
        const leftMs = timeLeft(gateway, call);
        const mayWait = isUncertain ? leftMs > uncertainShare * (call.deadlineAt - call.startedAt) : isComing && readyInMs + serveMs <= leftMs;
        if (!mayWait) {
            return {
                detail: isComing ? `the model is ready in ${Math.round(readyInMs)} ms` : "no runner holds the model",
                retryAfterMs: readyInMs || unknownRetryMs,
            };
        }
        await sleep(Math.min(maxPauseMs, Math.max(minPauseMs, readyInMs)), call.signal);
        if (runner !== undefined && readyInMs < maxPauseMs) {
            gateway.residency.addModel(runner, need.model);
            if (need.adapter !== undefined) {
                gateway.residency.addAdapter(runner, artifactKey(need.model, need.adapter));
            }
        }
    }
    return { detail: "the caller left", retryAfterMs: unknownRetryMs };
};

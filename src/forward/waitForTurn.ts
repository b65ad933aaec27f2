import type { UpstreamChoice } from "../core/chooseUpstream";
import { predictCompletionMs } from "../core/chooseUpstream";
import { maxTurnWaitMs } from "../core/turnWait";
import { EventId } from "../types/eventId";
import { processKey } from "../types/upstreamServer";
import { emit } from "../utils/events";
import { sleep } from "../utils/time";
import type { Call } from "./call";
import type { Gateway } from "./gateway";
import type { Refusal } from "./refusal";

/** Waits for a turn at an upstream if it has named a limit. Refuses at once if the turn would come too late for an answer. */
export const waitForTurn = async (gateway: Gateway, call: Call, choice: UpstreamChoice): Promise<Refusal | undefined> => {
    const { runnerLimits, placement } = gateway;
    const { server } = choice.candidate;
    const runner = processKey(server);
    const perSecond = runnerLimits.limitOf(runner);
    if (perSecond === undefined) {
        return undefined;
    }
    const { modelRequest } = call.caller;
    const neededMs = modelRequest ? predictCompletionMs(choice, modelRequest, 0) : choice.predictedMs;
    const maxWaitMs = maxTurnWaitMs(call.deadlineAt - performance.now(), neededMs);
    const expectedWaitMs = runnerLimits.expectedWaitMs(runner);
    // A turn that is known to be too late is not asked for.
    const permit = expectedWaitMs > maxWaitMs
        ? { isGranted: false, waitMs: expectedWaitMs }
        : await placement.acquirePermit({ runner, perSecond, maxWaitMs });
    if (!permit.isGranted) {
        runnerLimits.onPermit(runner, permit.waitMs);
        emit(EventId.PermitDenied, { request: call.caller.requestId, upstream: server.id, perSecond, waitMs: Math.round(permit.waitMs) });
        return {
            detail: `the upstream takes ${perSecond} requests a second, the next one in ${Math.round(permit.waitMs)} ms`,
            retryAfterMs: permit.waitMs,
        };
    }
    runnerLimits.onPermit(runner, permit.waitMs);
    await sleep(permit.waitMs, call.signal);
    return undefined;
};

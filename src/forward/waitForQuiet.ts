import { chooseUpstream, predictCompletionMs } from "../core/chooseUpstream";
import type { QuietUpstream } from "../core/quietWait";
import { decideOnQuiet } from "../core/quietWait";
import { EventId } from "../types/eventId";
import { FailureKind } from "../types/failureKind";
import { emit } from "../utils/events";
import { sleep } from "../utils/time";
import type { Call } from "./call";
import type { Gateway } from "./gateway";
import type { Refusal } from "./refusal";
import { candidatesFor, toCandidate } from "./selectUpstream";

/** What became of a request for which no upstream is available now. */
export interface QuietOutcome {
    /** Whether it has waited and should look for an upstream again. */
    readonly hasWaited: boolean;
    /** Why it should not wait; undefined if none of its upstreams asked for quiet. */
    readonly refusal?: Refusal;
}

const noQuiet: QuietOutcome = { hasWaited: false };

/** Time that the best of the upstreams needs for the request once it may be sent. */
const neededMsOf = (gateway: Gateway, call: Call, tried: ReadonlySet<string>): number => {
    const candidates = candidatesFor(gateway, call, tried).map(server => toCandidate(gateway, call, server, undefined));
    const choice = chooseUpstream(candidates, gateway.settings.availabilityZone)!;
    const { modelRequest, lastEventId } = call.caller;
    return modelRequest && lastEventId === undefined ? predictCompletionMs(choice, modelRequest, 0) : choice.predictedMs;
};

/** Waits a little if all upstreams that can run the request asked for quiet and one of them will take it in time; otherwise says when to come back. */
export const waitForQuiet = async (gateway: Gateway, call: Call, tried: ReadonlySet<string>): Promise<QuietOutcome> => {
    const { availability, quietWaiters, random } = gateway;
    const upstreams: readonly QuietUpstream[] = candidatesFor(gateway, call, tried)
        .map(server => ({ id: server.id, quietMs: availability.quietMsOf(server), slots: server.slots }));
    if (upstreams.length === 0) {
        return noQuiet;
    }
    const now = performance.now();
    const ahead = quietWaiters.countAhead(call.service, call);
    const remainingMs = Math.min(call.deadlineAt, gateway.exitDeadlineAt) - now;
    const objectiveMs = Math.min(remainingMs, call.startedAt + call.route.latencyObjectiveMs - now);
    const hasWaited = quietWaiters.has(call.service, call);
    const decision = decideOnQuiet({ upstreams, hasWaited, ahead, neededMs: neededMsOf(gateway, call, tried), objectiveMs, remainingMs }, random);
    const first = upstreams.reduce((earliest, upstream) => upstream.quietMs < earliest.quietMs ? upstream : earliest);
    if (!hasWaited || !decision.mayWait) {
        const fields = { request: call.caller.requestId, upstream: first.id, quietMs: Math.round(first.quietMs), upstreams: upstreams.length, ahead };
        emit(EventId.QuietDecided, { ...fields, isWaiting: decision.mayWait });
    }
    if (!decision.mayWait) {
        const detail = `${upstreams.length} upstreams asked for quiet, ${first.id} takes requests again first, in ${Math.round(first.quietMs)} ms`;
        return { hasWaited: false, refusal: { kind: FailureKind.UpstreamsQuiet, detail, retryAfterMs: decision.retryAfterMs, isSpread: true } };
    }
    quietWaiters.add(call.service, call);
    await sleep(decision.waitMs, call.signal);
    return { hasWaited: true };
};

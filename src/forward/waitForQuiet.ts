import { chooseUpstream } from "../core/chooseUpstream";
import type { QuietUpstream } from "../core/quietWait";
import { decideOnQuiet } from "../core/quietWait";
import type { ServingNeed } from "../core/servableTime";
import { completionLeftMs } from "../core/servableTime";
import { EventId } from "../types/eventId";
import { FailureKind } from "../types/failureKind";
import { emit } from "../utils/events";
import { sleep } from "../utils/time";
import type { Call } from "./call";
import { servableTimeOfCall, servingNeedOf } from "./callPatience";
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

/** What the best of the upstreams needs for the request once it may be sent. */
const needOf = (gateway: Gateway, call: Call, tried: ReadonlySet<string>): ServingNeed => {
    const candidates = candidatesFor(gateway, call, tried).map(server => toCandidate(gateway, call, server, undefined));
    return servingNeedOf(call, chooseUpstream(candidates, gateway.settings.availabilityZone)!);
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
    const time = servableTimeOfCall(gateway, call);
    const need = needOf(gateway, call, tried);
    const remainingMs = completionLeftMs(time, need, now);
    const objectiveMs = Math.min(remainingMs, call.startedAt + call.route.latencyObjectiveMs - now);
    const hasWaited = quietWaiters.has(call.service, call);
    const situation = { upstreams, hasWaited, ahead, neededMs: need.completionMs, objectiveMs, remainingMs, deadlineMs: time.completeBy - now };
    const decision = decideOnQuiet(situation, random);
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

import type { QuietUpstream } from "../core/quietWait";
import { decideOnQuiet } from "../core/quietWait";
import type { ServingNeed } from "../core/servableTime";
import { completionLeftMs } from "../core/servableTime";
import { EventId } from "../types/eventId";
import { FailureKind } from "../types/failureKind";
import { emit } from "../utils/events";
import type { Call } from "./call";
import { servableTimeOfCall } from "./callPatience";
import type { Gateway } from "./gateway";
import type { Refusal } from "./refusal";

/** An upstream that had no room for a request. */
export interface FullUpstream extends QuietUpstream {
    readonly need: ServingNeed;
    /** For a generation, when a caller that is refused now finds room. */
    readonly returnMs: number | undefined;
    readonly loadAgeMs: number;
}

/**
 * Decides whether a generation for which no runner has room waits, and within which time a place is of use then. It waits as long as its first event can come within the
 * objective; beyond this if its caller would come back before there is room, and then until the caller gives up.
 */
export const decideOnFullRunners = (gateway: Gateway, call: Call, upstreams: readonly FullUpstream[], hasWaited: boolean): Refusal | number => {
    const { route, startedAt } = call;
    const now = performance.now();
    const first = upstreams.reduce((earliest, upstream) => upstream.quietMs < earliest.quietMs ? upstream : earliest);
    const { firstEventMs: neededMs, completionMs } = first.need;
    const time = servableTimeOfCall(gateway, call);
    // The rest of the stream follows the first event, which counts here.
    const remainingMs = completionLeftMs(time, first.need, now) - (completionMs - neededMs);
    const objectiveMs = Math.min(remainingMs, startedAt + route.latencyObjectiveMs - now);
    const situation = { upstreams, hasWaited, ahead: 0, neededMs, objectiveMs, remainingMs, deadlineMs: time.completeBy - now };
    const decision = decideOnQuiet(situation, gateway.random);
    const isWaiting = decision.mayWait && !call.signal.aborted;
    const returnMs = Math.min(...upstreams.map(upstream => upstream.returnMs ?? upstream.quietMs));
    if (!hasWaited || !isWaiting) {
        emit(EventId.GenerationRefused, {
            request: call.caller.requestId,
            upstream: first.id,
            isWaiting,
            waitMs: Math.round(first.quietMs),
            returnMs: Math.round(returnMs),
            neededMs: Math.round(neededMs),
            remainingMs: Math.round(remainingMs),
            upstreams: upstreams.length,
            loadAgeMs: Number.isFinite(first.loadAgeMs) ? Math.round(first.loadAgeMs) : undefined,
        });
    }
    if (isWaiting) {
        return Math.max(0, (first.quietMs + neededMs <= objectiveMs ? objectiveMs : remainingMs) - neededMs);
    }
    return {
        kind: FailureKind.UpstreamsFull,
        detail: `${upstreams.length} runners have no room, ${first.id} probably has some first, in ${Math.round(first.quietMs)} ms`,
        retryAfterMs: decision.mayWait ? 0 : returnMs,
        isSpread: true,
    };
};

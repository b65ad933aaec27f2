import { randomUUID } from "node:crypto";
import type { UpstreamChoice } from "../core/chooseUpstream";
import { notBrittleRejectionsPerS } from "../core/runnerRoom";
import { completionLeftMs } from "../core/servableTime";
import { maxTurnWaitMs } from "../core/turnWait";
import { EventId } from "../types/eventId";
import type { GenerationTerms, Permit, PlaceRequest } from "../types/sendPermit";
import { processKey } from "../types/upstreamServer";
import { emit } from "../utils/events";
import { sleep } from "../utils/time";
import type { Call } from "./call";
import { servableTimeOfCall, servingNeedOf } from "./callPatience";
import type { Gateway } from "./gateway";
import { generationTermsOf } from "./generationTerms";
import type { Refusal } from "./refusal";

/** A place is free again this long after the deadline of its request, if it has not been given back. */
const placeMarginMs = 500;

/** Why a request got neither a turn nor a place. */
export interface TurnDenial extends Refusal {
    /** Whether the upstream is brittle and has no room; `retryAfterMs` is an estimate then. */
    readonly isFull: boolean;
    /** For a generation, when a caller that is refused now finds room; undefined for other requests. */
    readonly returnMs?: number;
    /** Whether it was to be queued for a place. */
    readonly wasQueued: boolean;
}

/** What keeps a place that was given to a request. */
export interface PlaceHolder {
    hold(runner: string, id: string): void;
}

const toPlaceRequest = (
    gateway: Gateway,
    call: Call,
    choice: UpstreamChoice,
    maxRejectionsPerS: number,
    maxQueueMs: number,
    generation: GenerationTerms | undefined,
): PlaceRequest => {
    const { server, traffic } = choice.candidate;
    const now = performance.now();
    return {
        id: randomUUID(),
        node: gateway.settings.peerAddress,
        holdMs: Math.max(0, call.deadlineAt - now) + placeMarginMs,
        slots: server.slots,
        share: 1,
        maxRejectionsPerS,
        load: traffic.load,
        unplaced: traffic.inFlight,
        maxQueueMs,
        dueInMs: call.startedAt + call.route.latencyObjectiveMs - now,
        priority: call.priority,
        generation,
    };
};

/**
 * Waits for a turn at an upstream if it has named a limit, and for a place if it needs one, at most for `maxQueueMs`. Refuses at once if the turn would come too late
 * for an answer.
 */
export const waitForTurn = async (
    gateway: Gateway,
    call: Call,
    choice: UpstreamChoice,
    holder: PlaceHolder,
    maxQueueMs = 0,
): Promise<TurnDenial | undefined> => {
    const { runnerLimits, placement, availability } = gateway;
    const { server } = choice.candidate;
    const runner = processKey(server);
    const perSecond = runnerLimits.limitOf(runner);
    const generation = generationTermsOf(gateway, call, choice);
    // A runner that is known to have room costs no message: nodes report what they have in progress there once it may be short.
    const needsRoom = generation !== undefined && !generation.isSent;
    const maxRejectionsPerS = availability.brittle.limitOf(server) ?? (needsRoom ? notBrittleRejectionsPerS : undefined);
    if (perSecond === undefined && maxRejectionsPerS === undefined) {
        return undefined;
    }
    const need = servingNeedOf(call, choice);
    const maxWaitMs = maxTurnWaitMs(completionLeftMs(servableTimeOfCall(gateway, call), need, performance.now()), need.completionMs);
    const expectedWaitMs = runnerLimits.expectedWaitMs(runner);
    const place = maxRejectionsPerS === undefined
        ? undefined
        : toPlaceRequest(gateway, call, choice, maxRejectionsPerS, Math.min(maxWaitMs, maxQueueMs), generation);
    // What is known to be too late is not asked for.
    const isKnownToBeLate = place ? expectedWaitMs > 0 && maxQueueMs === 0 : expectedWaitMs > maxWaitMs;
    const permit: Permit = isKnownToBeLate
        ? { isGranted: false, waitMs: expectedWaitMs, isFull: place !== undefined }
        : await placement.acquirePermit({ runner, perSecond, maxWaitMs, place });
    runnerLimits.onPermit(runner, permit.waitMs);
    if (!permit.isGranted) {
        const isFull = permit.isFull === true;
        emit(EventId.PermitDenied, {
            request: call.caller.requestId,
            upstream: server.id,
            perSecond,
            maxRejectionsPerS,
            isFull,
            lack: permit.lack,
            waitMs: Math.round(permit.waitMs),
        });
        return {
            detail: isFull
                ? `the upstream ${generation ? "" : "is brittle and "}has no room, probably for ${Math.round(permit.waitMs)} ms`
                : `the upstream takes ${perSecond} requests a second, the next one in ${Math.round(permit.waitMs)} ms`,
            retryAfterMs: permit.waitMs,
            isFull,
            returnMs: generation && (permit.retryAfterMs ?? permit.waitMs),
            wasQueued: maxQueueMs > 0,
        };
    }
    if (place) {
        holder.hold(runner, place.id);
    }
    await sleep(permit.waitMs, call.signal);
    return undefined;
};

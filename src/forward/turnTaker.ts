import type { UpstreamChoice } from "../core/chooseUpstream";
import type { QuietUpstream } from "../core/quietWait";
import { decideOnQuiet } from "../core/quietWait";
import { isSaturated } from "../core/saturation";
import { EventId } from "../types/eventId";
import { FailureKind } from "../types/failureKind";
import { RequestStep } from "../types/requestStep";
import type { UpstreamServer } from "../types/upstreamServer";
import { processKey } from "../types/upstreamServer";
import { emit } from "../utils/events";
import { sleep } from "../utils/time";
import type { Call } from "./call";
import type { Gateway } from "./gateway";
import { HeldPlace } from "./heldPlace";
import { isPathLost, unreachableRefusal } from "./peerPath";
import type { Refusal } from "./refusal";
import { selectUpstream } from "./selectUpstream";
import { mayBeginAt } from "./versionPin";
import { neededMsOf, waitForTurn } from "./waitForTurn";
import { isRefusal } from "./waitForUpstream";

/** Upstreams that are asked for a place before a request is queued for one. */
const maxAskedUpstreams = 3;
/** Time for which a request is queued at one upstream before it looks at the others again. */
const queueMs = 400;
/** Pause of a request that was queued in vain: the queue itself may be full. */
const pauseMs = 25;

/** A brittle upstream that had no room for a request. */
interface FullUpstream extends QuietUpstream {
    readonly neededMs: number;
}

/** What a request needs besides its call to look for an upstream. */
interface TurnContext {
    readonly tried: Set<string>;
    readonly waitForUpstream: () => Promise<UpstreamChoice | Refusal>;
}

/** Gets a request its turn and its place at an upstream, or at another one that has them sooner. */
export class TurnTaker {
    private readonly held: HeldPlace;
    /** Brittle upstreams that had no room, since the request was queued last. */
    private readonly full = new Map<string, FullUpstream>();
    private hasWaited = false;

    private constructor(private readonly gateway: Gateway, private readonly call: Call, private readonly context: TurnContext) {
        this.held = HeldPlace.create(() => gateway.placement);
    }

    static create(gateway: Gateway, call: Call, context: TurnContext): TurnTaker {
        return new TurnTaker(gateway, call, context);
    }

    /** Waits until the request may be sent to the chosen upstream, or to another one that takes it sooner or is still available after the wait. */
    async take(choice: UpstreamChoice): Promise<UpstreamChoice | Refusal> {
        const { gateway, call, context, held, full } = this;
        full.clear();
        let maxQueueMs = 0;
        for (let next: UpstreamChoice | Refusal = choice;;) {
            const { server } = next.candidate;
            call.progress.step = RequestStep.Turn;
            const denied = await waitForTurn(gateway, call, next, held, maxQueueMs);
            maxQueueMs = 0;
            const mayBegin = !denied && await mayBeginAt(gateway, call, next);
            if (mayBegin && gateway.availability.mayTake(server)) {
                return next;
            }
            held.giveBack();
            if (denied?.isFull) {
                full.set(server.id, { id: server.id, quietMs: denied.retryAfterMs, slots: server.slots, neededMs: neededMsOf(call, next) });
                const other: UpstreamChoice | undefined = this.chooseWithRoom();
                if (other) {
                    next = other;
                    continue;
                }
                const refusal = this.refuseFull();
                if (refusal) {
                    return refusal;
                }
                if (denied.wasQueued) {
                    await sleep(pauseMs, call.signal);
                }
                full.clear();
                maxQueueMs = queueMs;
                next = selectUpstream(gateway, call, context.tried) ?? await context.waitForUpstream();
            }
            else {
                if (denied) {
                    context.tried.add(server.id);
                }
                next = await context.waitForUpstream();
            }
            if (isRefusal(next)) {
                return denied && !denied.isFull && next.kind === undefined ? denied : next;
            }
        }
    }

    /** Gives the place back after an attempt. */
    onAttemptEnd(server: UpstreamServer, isRejected: boolean): void {
        const { gateway, held } = this;
        if (!held.giveBack(isRejected) && isRejected && gateway.availability.brittle.limitOf(server) !== undefined) {
            gateway.placement.returnPlace({ runner: processKey(server), isRejected });
        }
    }

    /** Gives back what the request still holds, at its end. */
    close(): void {
        this.held.close();
    }

    private chooseWithRoom(): UpstreamChoice | undefined {
        const { gateway, call, full, context } = this;
        if (full.size >= maxAskedUpstreams) {
            return undefined;
        }
        const other = selectUpstream(gateway, call, new Set([...context.tried, ...full.keys()]));
        return other && call.caller.modelRequest && isSaturated(other, call.route) ? undefined : other;
    }

    /** Decides whether a request for which no upstream has room waits; undefined if it does. */
    private refuseFull(): Refusal | undefined {
        const { gateway, call } = this;
        if (isPathLost(gateway)) {
            return unreachableRefusal;
        }
        const upstreams = [...this.full.values()];
        const now = performance.now();
        const remainingMs = Math.min(call.deadlineAt, gateway.exitDeadlineAt) - now;
        const objectiveMs = Math.min(remainingMs, call.startedAt + call.route.latencyObjectiveMs - now);
        const neededMs = Math.min(...upstreams.map(upstream => upstream.neededMs));
        const decision = decideOnQuiet({ upstreams, hasWaited: this.hasWaited, ahead: 0, neededMs, objectiveMs, remainingMs }, gateway.random);
        const first = upstreams.reduce((earliest, upstream) => upstream.quietMs < earliest.quietMs ? upstream : earliest);
        const isWaiting = decision.mayWait && !call.signal.aborted;
        if (!this.hasWaited || !isWaiting) {
            const fields = { request: call.caller.requestId, upstream: first.id, waitMs: Math.round(first.quietMs), upstreams: upstreams.length };
            emit(EventId.PlaceAwaited, { ...fields, isWaiting });
        }
        this.hasWaited = true;
        if (isWaiting) {
            return undefined;
        }
        return {
            kind: FailureKind.UpstreamsBrittle,
            detail: `${upstreams.length} upstreams are brittle and have no room, ${first.id} probably has some first, in ${Math.round(first.quietMs)} ms`,
            retryAfterMs: decision.mayWait ? 0 : decision.retryAfterMs,
            isSpread: true,
        };
    }
}

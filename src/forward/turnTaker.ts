import type { UpstreamChoice } from "../core/chooseUpstream";
import { decideOnQuiet } from "../core/quietWait";
import { isSaturated } from "../core/saturation";
import { completionLeftMs } from "../core/servableTime";
import { EventId } from "../types/eventId";
import { FailureKind } from "../types/failureKind";
import { RequestStep } from "../types/requestStep";
import type { UpstreamServer } from "../types/upstreamServer";
import { processKey } from "../types/upstreamServer";
import { emit } from "../utils/events";
import { sleep } from "../utils/time";
import { describeError } from "../utils/transport";
import type { Call } from "./call";
import { servableTimeOfCall, servingNeedOf } from "./callPatience";
import type { FullUpstream } from "./decideOnFullRunners";
import { decideOnFullRunners } from "./decideOnFullRunners";
import { findAlternative } from "./findAlternative";
import type { Gateway } from "./gateway";
import { admitsGenerations, needsPlace } from "./generationTerms";
import { HeldPlace } from "./heldPlace";
import { isPathLost, unreachableRefusal } from "./peerPath";
import type { Refusal } from "./refusal";
import { selectUpstream } from "./selectUpstream";
import { mayBeginAt } from "./versionPin";
import { waitForTurn } from "./waitForTurn";
import { isRefusal } from "./waitForUpstream";

/** Upstreams that are asked for a place before a request is queued for one. */
const maxAskedUpstreams = 3;
/** A place for an upstream that is to take over from a silent one is given back after this time, if the other one has answered by then. */
const spareHoldMs = 400;
/** A request that was queued for at least this time has waited: it is not refused then as long as it can be answered. */
const minWaitMs = 100;
/** Pause of a request that was queued in vain: the queue itself may be full. */
const pauseMs = 25;

/** Gets a request its turn and its place at an upstream, or at another one that has them sooner. */
export class TurnTaker {
    /** The place of the next attempt, or of the one in progress. */
    private held: HeldPlace | undefined;
    /** The place for an upstream that takes the request over from a silent one. */
    private spare: HeldPlace | undefined;
    private spareChoice: UpstreamChoice | undefined;
    private isAskingForSpare = false;
    /** Brittle upstreams that had no room, since the request was queued last. */
    private full: Map<string, FullUpstream> | undefined;
    private hasWaited = false;
    private isClosed = false;

    private constructor(
        private readonly gateway: Gateway,
        private readonly call: Call,
        private readonly tried: Set<string>,
        private readonly waitForUpstream: () => Promise<UpstreamChoice | Refusal>,
    ) {}

    /** Creates the taker of a request that has not been sent yet; `tried` are the upstreams that it is not sent to again. */
    static create(gateway: Gateway, call: Call, tried: Set<string>, waitForUpstream: () => Promise<UpstreamChoice | Refusal>): TurnTaker {
        return new TurnTaker(gateway, call, tried, waitForUpstream);
    }

    /** Holds a place that was given; one that comes after the request's end is given back at once. */
    hold(runner: string, id: string): void {
        this.held ??= HeldPlace.create(this.gateway);
        this.held.hold(runner, id);
        if (this.isClosed) {
            this.held.giveBack();
        }
    }

    /** Waits until the request may be sent to the chosen upstream, or to another one that takes it sooner or is still available after the wait. */
    async take(choice: UpstreamChoice): Promise<UpstreamChoice | Refusal> {
        const { gateway, call, tried } = this;
        this.full?.clear();
        let maxQueueMs = 0;
        for (let next: UpstreamChoice | Refusal = choice;;) {
            const { server } = next.candidate;
            call.progress.step = RequestStep.Turn;
            const askedAt = performance.now();
            const denied = this.holdsSpareAt(server) ? undefined : await waitForTurn(gateway, call, next, this, maxQueueMs);
            maxQueueMs = 0;
            const mayBegin = !denied && await mayBeginAt(gateway, call, next);
            if (mayBegin && gateway.availability.mayTake(server)) {
                return next;
            }
            this.held?.giveBack();
            if (denied?.isFull) {
                this.hasWaited ||= denied.wasQueued && performance.now() - askedAt >= minWaitMs;
                const full: Map<string, FullUpstream> = this.full ??= new Map<string, FullUpstream>();
                full.set(server.id, {
                    id: server.id,
                    quietMs: denied.retryAfterMs,
                    slots: server.slots,
                    need: servingNeedOf(call, next),
                    returnMs: denied.returnMs,
                    loadAgeMs: next.candidate.traffic.reportAgeMs,
                });
                const other: UpstreamChoice | undefined = this.chooseWithRoom(full);
                if (other) {
                    next = other;
                    continue;
                }
                const decision = this.decideOnFull(full);
                if (typeof decision !== "number") {
                    return decision;
                }
                if (denied.wasQueued) {
                    await sleep(pauseMs, call.signal);
                }
                full.clear();
                maxQueueMs = decision;
                next = selectUpstream(gateway, call, tried) ?? await this.waitForUpstream();
            }
            else {
                if (denied) {
                    tried.add(server.id);
                }
                next = await this.waitForUpstream();
            }
            if (isRefusal(next)) {
                return denied && !denied.isFull && next.kind === undefined ? denied : next;
            }
        }
    }

    /**
     * Another upstream for a request whose upstream is silent, with a retry of the budget. A brittle one takes it over only once it has given a place, which is asked
     * for meanwhile: this is called again as long as the silence lasts.
     */
    takeAlternative(): UpstreamChoice | undefined {
        const { gateway, call, tried } = this;
        const choice = this.spareChoice ?? findAlternative(gateway, call, tried);
        if (!choice) {
            return undefined;
        }
        const { server } = choice.candidate;
        // A runner with room grants without a place.
        if (!this.spareChoice && needsPlace(gateway, call, server) && this.spare?.isAt(processKey(server)) !== true) {
            this.spareChoice = undefined;
            this.askForSpare(choice);
            return undefined;
        }
        this.spareChoice = undefined;
        return gateway.availability.mayTake(server) && gateway.budgetOf(call.service).withdraw() ? choice : undefined;
    }

    /** Gives the place back after an attempt. */
    onAttemptEnd(server: UpstreamServer, isRejected: boolean): void {
        const { gateway, call } = this;
        if (this.held?.giveBack(isRejected) !== true && isRejected && needsPlace(gateway, call, server)) {
            gateway.placement.returnPlace({ runner: processKey(server), isRejected });
        }
    }

    /** Gives back what the request still holds, at its end. */
    close(): void {
        this.isClosed = true;
        this.held?.giveBack();
        this.spare?.giveBack();
    }

    private askForSpare(choice: UpstreamChoice): void {
        if (this.isAskingForSpare) {
            return;
        }
        const { gateway, call } = this;
        const spare = this.spare ??= HeldPlace.create(gateway);
        this.isAskingForSpare = true;
        const onGranted = (): void => {
            if (this.isClosed) {
                spare.giveBack();
                return;
            }
            this.spareChoice = choice;
            setTimeout(() => {
                this.spareChoice = undefined;
                spare.giveBack();
            }, spareHoldMs);
        };
        waitForTurn(gateway, call, choice, spare)
            .then(denied => denied ? undefined : onGranted())
            .catch((err: unknown) => emit(EventId.AttemptStepFailed, { request: call.caller.requestId, step: RequestStep.Turn, detail: describeError(err) }))
            .finally(() => this.isAskingForSpare = false);
    }

    /** Whether the place for an upstream is held already; it becomes that of the next attempt. */
    private holdsSpareAt(server: UpstreamServer): boolean {
        const { spare } = this;
        if (spare?.isAt(processKey(server)) !== true) {
            return false;
        }
        this.held ??= HeldPlace.create(this.gateway);
        this.held.takeFrom(spare);
        return true;
    }

    private chooseWithRoom(full: ReadonlyMap<string, FullUpstream>): UpstreamChoice | undefined {
        const { gateway, call, tried } = this;
        if (full.size >= maxAskedUpstreams) {
            return undefined;
        }
        const other = selectUpstream(gateway, call, new Set([...tried, ...full.keys()]));
        return other && call.caller.modelRequest && !admitsGenerations(gateway, call.service) && isSaturated(other, call.route) ? undefined : other;
    }

    /** Decides whether a request for which no upstream has room waits, and within which time a place is of use then. */
    private decideOnFull(full: ReadonlyMap<string, FullUpstream>): Refusal | number {
        const { gateway, call, hasWaited } = this;
        if (isPathLost(gateway)) {
            return unreachableRefusal;
        }
        const upstreams = [...full.values()];
        if (upstreams.some(({ returnMs }) => returnMs !== undefined)) {
            return decideOnFullRunners(gateway, call, upstreams, hasWaited);
        }
        const now = performance.now();
        const { need } = upstreams.reduce((best, upstream) => upstream.need.completionMs < best.need.completionMs ? upstream : best);
        const neededMs = need.completionMs;
        const time = servableTimeOfCall(gateway, call);
        const remainingMs = completionLeftMs(time, need, now);
        const objectiveMs = Math.min(remainingMs, call.startedAt + call.route.latencyObjectiveMs - now);
        const situation = { upstreams, hasWaited, ahead: 0, neededMs, objectiveMs, remainingMs, deadlineMs: time.completeBy - now };
        const decision = decideOnQuiet(situation, gateway.random);
        const first = upstreams.reduce((earliest, upstream) => upstream.quietMs < earliest.quietMs ? upstream : earliest);
        const isWaiting = decision.mayWait && !call.signal.aborted;
        if (!hasWaited || !isWaiting) {
            const fields = { request: call.caller.requestId, upstream: first.id, waitMs: Math.round(first.quietMs), upstreams: upstreams.length };
            emit(EventId.PlaceAwaited, { ...fields, isWaiting });
        }
        if (isWaiting) {
            return (first.quietMs + neededMs <= objectiveMs ? objectiveMs : remainingMs) - neededMs;
        }
        return {
            kind: FailureKind.UpstreamsBrittle,
            detail: `${upstreams.length} upstreams are brittle and have no room, ${first.id} probably has some first, in ${Math.round(first.quietMs)} ms`,
            retryAfterMs: decision.mayWait ? 0 : decision.retryAfterMs,
            isSpread: true,
        };
    }
}

import type { UpstreamChoice } from "../core/chooseUpstream";
import { estimateWorkMs } from "../core/chooseUpstream";
import { EventId } from "../types/eventId";
import type { Failure } from "../types/failure";
import { FailureKind } from "../types/failureKind";
import { artifactKey } from "../types/modelRequest";
import { Verdict } from "../types/verdict";
import { emit } from "../utils/events";
import { answerFailure } from "./answerFailure";
import { AttemptExecutor, AttemptOutcome } from "./attemptExecutor";
import type { Call } from "./call";
import { mayRepeat } from "./call";
import type { Gateway } from "./gateway";
import { isRefusal, waitForUpstream } from "./waitForUpstream";

/** Sends of one request, with those that were refused unrun. */
const maxSends = 4;
/** Least time that an attempt is given. */
const minAttemptMs = 20;
/** When a refused caller should come back, where nothing better is known. */
const refusedRetryAfterMs = 700;
/** Another node can take the request at once. */
const stoppingRetryMs = 50;
/** Time that a stopping node allows for a plain request, and for a generation besides its tokens. */
const plainRequestMs = 1_200;
const outputTokenMs = 8;
/** Share of its most tokens that a generation makes on average. */
const usualOutputShare = 0.5;
/** Callers that are sent here this long after the notice have no other node yet. Later, generations go elsewhere at once. */
const noticeMs = 2_900;

/** Whether a request that comes now can likely be answered before the process ends. */
const canFinish = ({ exitDeadlineAt: endsAt, stopRequestedAt: stoppingAt }: Gateway, { caller }: Call): boolean => {
    const now = performance.now();
    if (now - stoppingAt > noticeMs && caller.modelRequest) {
        return false;
    }
    return now + plainRequestMs + usualOutputShare * (caller.modelRequest?.maxOutputTokens ?? 0) * outputTokenMs < endsAt;
};

/** Forwards one request until it has a final answer. */
export class Forwarder {
    private readonly met = new Set<string>();
    private readonly attempts: AttemptExecutor;
    /** Attempts that left, and those of them that may have run. */
    private sends = 0;
    private runs = 0;
    private upstream: string | undefined;

    private constructor(private readonly gateway: Gateway, private readonly call: Call) {
        this.attempts = AttemptExecutor.create(gateway, call);
    }

    /** Makes the forwarder of a request. */
    static create(gateway: Gateway, call: Call): Forwarder {
        return new Forwarder(gateway, call);
    }

    /** Sends the request to upstreams until one answers, or nothing more may be tried. */
    async run(): Promise<void> {
        const { call, gateway } = this;
        this.count();
        if (!canFinish(gateway, call)) {
            this.fail(FailureKind.Stopping, "the node ends before the request could", stoppingRetryMs);
            return;
        }
        const first = await waitForUpstream(gateway, call, this.met);
        if (isRefusal(first)) {
            this.fail(FailureKind.NoUpstream, first.detail, first.retryAfterMs);
            return;
        }
        let next: UpstreamChoice | undefined = first;
        while (next) {
            const outcome = await this.attempt(next);
            if (call.signal.aborted) {
                emit(EventId.CallerLeft, { request: call.caller.requestId, upstream: this.upstream, afterMs: this.elapsedMs() });
                return;
            }
            next = this.mayTryAgain(outcome) ? await this.chooseAgain() : undefined;
            if (!next) {
                this.end(outcome);
            }
            else {
                this.startOver();
            }
        }
    }

    private count(): void {
        const { call, gateway } = this;
        const { modelRequest: need } = call.caller;
        gateway.budgetOf(call.service).countRequest();
        if (need) {
            gateway.placement.countWork(artifactKey(need.model, need.adapter), estimateWorkMs(need));
        }
    }

    private async attempt(choice: UpstreamChoice): Promise<AttemptOutcome> {
        const { route } = this.call;
        this.upstream = choice.candidate.server.id;
        this.met.add(this.upstream);
        this.sends++;
        const outcome = await this.attempts.run(choice, this.sends, mayRepeat(route) && this.runs + 1 < route.maxAttempts);
        if (outcome === AttemptOutcome.Unsent) {
            this.sends--;
        }
        else if (outcome !== AttemptOutcome.NotRun) {
            this.runs++;
        }
        return outcome;
    }

    /** Whether too little time is left for an upstream to answer; timers may fire a moment early. */
    private get isLate(): boolean {
        return this.call.deadlineAt - performance.now() < minAttemptMs;
    }

    private mayTryAgain(outcome: AttemptOutcome): boolean {
        const { route } = this.call;
        if (outcome === AttemptOutcome.Answered || this.isLate || this.sends >= maxSends) {
            return false;
        }
        return outcome === AttemptOutcome.NotRun || outcome === AttemptOutcome.Unsent || (mayRepeat(route) && this.runs < route.maxAttempts);
    }

    /** A further upstream, if there is one and the service's budget allows a repeat. */
    private async chooseAgain(): Promise<UpstreamChoice | undefined> {
        const { gateway, call } = this;
        const choice = await waitForUpstream(gateway, call, this.met);
        if (isRefusal(choice)) {
            return undefined;
        }
        const isFree = this.sends === 0;
        return isFree || gateway.budgetOf(call.service).withdraw() ? choice : undefined;
    }

    private startOver(): void {
        const { relay } = this.attempts;
        if (relay.hasBegun) {
            emit(EventId.StreamResumed, { request: this.call.caller.requestId, after: relay.lastEventId });
        }
        relay.reset();
    }

    /** Gives the caller the final answer. */
    private end(outcome: AttemptOutcome): void {
        const { relay } = this.attempts;
        const isPassable = outcome === AttemptOutcome.Answered || outcome === AttemptOutcome.RanAndFailed;
        if (isPassable && relay.canComplete) {
            relay.complete();
            this.logAnswered();
            return;
        }
        this.fail(this.isLate ? FailureKind.DeadlineExpired : this.runs === 0 ? FailureKind.UpstreamRefused : FailureKind.UpstreamLost, "no upstream answered");
    }

    private logAnswered(): void {
        const { caller, route, startedAt } = this.call;
        const { relay } = this.attempts;
        emit(EventId.RequestAnswered, {
            request: caller.requestId,
            route: route.name,
            upstream: this.upstream,
            status: relay.head?.status,
            sends: this.sends,
            firstByteMs: Math.round(relay.firstByteAt - startedAt),
            afterMs: this.elapsedMs(),
        });
    }

    private fail(kind: FailureKind, detail: string, afterMs = refusedRetryAfterMs): void {
        const verdict = this.runs === 0 ? Verdict.NotRun : Verdict.MayHaveRun;
        const retryAfterMs = verdict === Verdict.NotRun ? afterMs * (0.75 + this.gateway.random() / 2) : undefined;
        const failure: Failure = { kind, verdict, detail, retryAfterMs };
        const { caller, route, service, configVersion } = this.call;
        const { model, adapter } = caller.modelRequest ?? {};
        answerFailure(this.call.res, caller.requestId, failure, {
            route: route.name,
            service,
            model,
            adapter,
            configVersion,
            sends: this.sends,
            afterMs: this.elapsedMs(),
        });
    }

    private elapsedMs(): number {
        return Math.round(performance.now() - this.call.startedAt);
    }
}

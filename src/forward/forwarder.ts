import type { UpstreamChoice } from "../core/chooseUpstream";
import { EventId } from "../types/eventId";
import { FailureKind } from "../types/failureKind";
import { RequestStep } from "../types/requestStep";
import { Verdict } from "../types/verdict";
import { emit } from "../utils/events";
import { answerFailedCall } from "./answerFailure";
import { AttemptExecutor } from "./attemptExecutor";
import { AttemptOutcome, notRunOutcomes, unsentOutcomes } from "./attemptOutcome";
import type { Call } from "./call";
import { mayRepeat } from "./call";
import { canFinishBeforeExit, mayFinishBeforeExit } from "./canFinishBeforeExit";
import { findAlternative } from "./findAlternative";
import type { Gateway } from "./gateway";
import { logAnswered } from "./logAnswered";
import { QuarantineGate } from "./quarantineGate";
import { recordDemand } from "./recordDemand";
import { stoppingRefusal, untilExit } from "./untilExit";
import { mayBeginAt, pinTakenUpStream } from "./versionPin";
import { waitForTurn } from "./waitForTurn";
import type { Refusal } from "./waitForUpstream";
import { isRefusal, refuseQuarantined, waitForUpstream } from "./waitForUpstream";

/** Maximum sends of one request, including those that were refused without running. */
const maxSends = 4;
/** Minimum time left for an attempt. */
const minAttemptMs = 20;
/** Default retry delay given to refused callers. */
const refusedRetryAfterMs = 700;

/** Forwards one request until it has a final answer. */
export class Forwarder {
    private readonly tried = new Set<string>();
    private readonly attempts: AttemptExecutor;
    private readonly gate: QuarantineGate;
    /** Attempts that were sent, and those of them that may have run. */
    private sends = 0;
    private possibleRuns = 0;
    /** Whether the retry budget was charged for a retry that was not sent. */
    private isRetryPaid = false;
    private upstream: string | undefined;
    /** Upstream that was chosen while the latest attempt was still in progress. */
    private alternative: UpstreamChoice | undefined;

    private constructor(private readonly gateway: Gateway, private readonly call: Call) {
        this.attempts = AttemptExecutor.create(gateway, call);
        this.gate = QuarantineGate.create(gateway.crashLog, call.suspectParts);
    }

    /** Creates the forwarder of a request. */
    static create(gateway: Gateway, call: Call): Forwarder {
        return new Forwarder(gateway, call);
    }

    /** Sends the request to upstreams until one answers or no further attempt is allowed. */
    async run(): Promise<void> {
        try {
            await this.forward();
        }
        finally {
            this.gateway.quietWaiters.remove(this.call.service, this.call);
        }
    }

    private async forward(): Promise<void> {
        const { call, gateway } = this;
        recordDemand(gateway, call);
        if (!canFinishBeforeExit(gateway, call)) {
            this.refuse(stoppingRefusal);
            return;
        }
        if (this.isTooLate) {
            this.fail(FailureKind.DeadlineExpired, "too little time is left for an upstream to answer");
            return;
        }
        this.gate.startTrial();
        call.progress.step = RequestStep.Pin;
        const first = await untilExit(gateway, pinTakenUpStream(gateway, call).then(refusal => refusal ?? this.waitForUpstream()));
        if (isRefusal(first)) {
            this.refuse(first);
            return;
        }
        let next: UpstreamChoice = first;
        let outcome: AttemptOutcome | undefined;
        for (;;) {
            const ready = await untilExit(gateway, this.waitForTurn(next));
            if (isRefusal(ready)) {
                this.finishRefused(outcome, ready);
                return;
            }
            if (outcome !== undefined) {
                this.prepareRetry();
            }
            gateway.quietWaiters.remove(call.service, call);
            outcome = await this.attempt(ready);
            if (call.signal.aborted) {
                return;
            }
            if (!this.mayTryAgain(outcome)) {
                this.finish(outcome);
                return;
            }
            const choice = await untilExit(gateway, this.chooseNextUpstream());
            if (isRefusal(choice)) {
                if (choice.kind === FailureKind.UpstreamsQuiet || choice.kind === FailureKind.Stopping) {
                    this.finishRefused(outcome, choice);
                }
                else {
                    this.finish(outcome, choice.detail);
                }
                return;
            }
            next = choice;
        }
    }

    private waitForUpstream(): Promise<UpstreamChoice | Refusal> {
        const { gateway, call } = this;
        call.progress.step = RequestStep.Choose;
        return waitForUpstream(gateway, call, this.tried, this.gate);
    }

    /** Waits until a request may be sent to the chosen upstream, or to another one that takes it sooner or is still available after the wait. */
    private async waitForTurn(choice: UpstreamChoice): Promise<UpstreamChoice | Refusal> {
        const { gateway, call } = this;
        for (let next: UpstreamChoice | Refusal = choice;;) {
            call.progress.step = RequestStep.Turn;
            const denied = await waitForTurn(gateway, call, next);
            const mayBegin = !denied && await mayBeginAt(gateway, call, next);
            if (mayBegin && gateway.availability.mayTake(next.candidate.server)) {
                return refuseQuarantined(gateway, this.gate) ?? (this.attempts.relay.hasBegun || mayFinishBeforeExit(gateway, call) ? next : stoppingRefusal);
            }
            if (denied) {
                this.tried.add(next.candidate.server.id);
            }
            next = await this.waitForUpstream();
            if (isRefusal(next)) {
                return denied && next.kind === undefined ? denied : next;
            }
        }
    }

    /** Answers a request that is not sent (again): with the refusal, or with what the attempt before gave. */
    private finishRefused(outcome: AttemptOutcome | undefined, refusal: Refusal): void {
        if (outcome === undefined || this.possibleRuns === 0) {
            this.refuse(refusal);
        }
        else {
            this.finish(outcome, refusal.detail);
        }
    }

    private refuse({ kind = FailureKind.NoUpstream, detail, retryAfterMs, isSpread }: Refusal): void {
        this.fail(kind, detail, retryAfterMs, isSpread);
    }

    private async attempt(choice: UpstreamChoice): Promise<AttemptOutcome> {
        const { route } = this.call;
        this.upstream = choice.candidate.server.id;
        this.call.progress.upstream = this.upstream;
        this.tried.add(this.upstream);
        this.sends++;
        const mayRunAgain = mayRepeat(route) && this.gate.mayRunTwice && this.possibleRuns + 1 < route.maxAttempts &&
            this.sends < maxSends;
        const failOver = (): boolean => {
            this.alternative = findAlternative(this.gateway, this.call, this.tried);
            return this.alternative !== undefined;
        };
        const outcome = await this.attempts.run(choice, this.sends, mayRunAgain ? failOver : undefined);
        if (unsentOutcomes.has(outcome)) {
            this.sends--;
        }
        else if (outcome !== AttemptOutcome.NotRun) {
            this.possibleRuns++;
        }
        this.call.progress.mayHaveRun = this.possibleRuns > 0;
        this.call.progress.framing = this.attempts.framing;
        this.isRetryPaid = outcome === AttemptOutcome.Withheld && this.sends > 0;
        // An upstream that asked for quiet has not failed the request: it may get it after that time.
        if (outcome === AttemptOutcome.Withheld || (outcome === AttemptOutcome.NotRun && this.gateway.availability.quietMsOf(choice.candidate.server) > 0)) {
            this.tried.delete(this.upstream);
        }
        return outcome;
    }

    /** Whether too little time remains for an upstream to answer; the margin also covers timers that fire slightly early. */
    private get isTooLate(): boolean {
        return this.call.deadlineAt - performance.now() < minAttemptMs;
    }

    private mayTryAgain(outcome: AttemptOutcome): boolean {
        const { route } = this.call;
        const isLastRun = this.possibleRuns > 0 && !this.gate.mayRunTwice;
        if (outcome === AttemptOutcome.Answered || outcome === AttemptOutcome.Unsendable || this.isTooLate || this.sends >= maxSends || isLastRun) {
            return false;
        }
        return notRunOutcomes.has(outcome) || (mayRepeat(route) && this.possibleRuns < route.maxAttempts);
    }

    /** Another upstream, if one is available and the service's retry budget allows it; otherwise why not. */
    private async chooseNextUpstream(): Promise<UpstreamChoice | Refusal> {
        const { gateway, call, alternative } = this;
        this.alternative = undefined;
        if (alternative) {
            return alternative;
        }
        const choice = await this.waitForUpstream();
        if (isRefusal(choice) || this.sends === 0 || this.isRetryPaid || gateway.budgetOf(call.service).withdraw()) {
            return choice;
        }
        return { kind: FailureKind.RetryBudgetSpent, detail: "the retry budget of the service is spent", retryAfterMs: refusedRetryAfterMs };
    }

    private prepareRetry(): void {
        const { relay } = this.attempts;
        if (relay.hasBegun) {
            emit(EventId.StreamResumed, { request: this.call.caller.requestId, after: relay.lastEventId });
        }
        relay.reset();
    }

    /** Sends the final answer to the caller; `detail` says why there is no further attempt. */
    private finish(outcome: AttemptOutcome, detail = "no upstream gave an answer that can be relayed"): void {
        const { relay } = this.attempts;
        this.call.progress.step = RequestStep.Answer;
        const isRelayable = outcome === AttemptOutcome.Answered || outcome === AttemptOutcome.RanAndFailed;
        const answeredBy = isRelayable && relay.canComplete ? this.upstream : relay.restoreKept();
        if (answeredBy !== undefined) {
            relay.complete();
            logAnswered(this.call, this.attempts, answeredBy, this.sends);
            return;
        }
        if (outcome === AttemptOutcome.Unsendable && this.possibleRuns === 0) {
            this.fail(FailureKind.BadRequest, "the request cannot be sent to an upstream");
            return;
        }
        this.fail(
            this.isTooLate ? FailureKind.DeadlineExpired : this.possibleRuns === 0 ? FailureKind.UpstreamRefused : FailureKind.UpstreamLost,
            detail,
        );
    }

    private fail(kind: FailureKind, detail: string, retryDelayMs = refusedRetryAfterMs, isSpread = false): void {
        const verdict = this.possibleRuns === 0 ? Verdict.NotRun : Verdict.MayHaveRun;
        const retryAfterMs = retryDelayMs * (isSpread ? 1 : 0.75 + this.gateway.random() / 2);
        answerFailedCall(this.call, { kind, verdict, detail, retryAfterMs: verdict === Verdict.NotRun ? retryAfterMs : undefined }, this.sends);
    }
}

import { FailureKind } from "../types/failureKind";
import { RequestStep } from "../types/requestStep";
import { Verdict } from "../types/verdict";
import { answerFailedCall } from "./answerFailure";
import type { AttemptExecutor } from "./attemptExecutor";
import { AttemptOutcome } from "./attemptOutcome";
import type { Call } from "./call";
import type { Gateway } from "./gateway";
import { logAnswered } from "./logAnswered";
import { isStranded, strandedRefusal } from "./peerPath";
import type { Refusal } from "./refusal";
import type { SendTally } from "./sendTally";

/** Default retry delay given to refused callers. */
export const refusedRetryAfterMs = 700;

/** Gives a request its final answer. */
export class FinalAnswer {
    private constructor(
        private readonly gateway: Gateway,
        private readonly call: Call,
        private readonly attempts: AttemptExecutor,
        private readonly tally: SendTally,
    ) {}

    static create(gateway: Gateway, call: Call, attempts: AttemptExecutor, tally: SendTally): FinalAnswer {
        return new FinalAnswer(gateway, call, attempts, tally);
    }

    /** Answers a request that is not sent (again): with the refusal, or with what the attempt before gave. */
    refuseOrFinish(outcome: AttemptOutcome | undefined, refusal: Refusal): void {
        if (outcome === undefined || this.tally.possibleRuns === 0) {
            this.refuse(refusal);
        }
        else {
            this.finish(outcome, refusal.detail);
        }
    }

    refuse({ kind = FailureKind.NoUpstream, detail, retryAfterMs, isSpread }: Refusal): void {
        this.fail(kind, detail, retryAfterMs, isSpread);
    }

    /** Answers with what the latest attempt gave; `detail` says why there is no further attempt. */
    finish(outcome: AttemptOutcome, detail = "no upstream gave an answer that can be relayed"): void {
        const { call, tally, attempts, attempts: { relay } } = this;
        call.progress.step = RequestStep.Answer;
        const isRelayable = outcome === AttemptOutcome.Answered || outcome === AttemptOutcome.RanAndFailed;
        const answeredBy = isRelayable && relay.canComplete ? call.progress.upstream : relay.restoreKept();
        if (answeredBy !== undefined) {
            relay.complete();
            logAnswered(call, attempts, answeredBy, tally.sends);
            return;
        }
        if (outcome === AttemptOutcome.Unsendable && tally.possibleRuns === 0) {
            this.fail(FailureKind.BadRequest, "the request cannot be sent to an upstream");
            return;
        }
        this.fail(tally.isTooLate ? FailureKind.DeadlineExpired : tally.possibleRuns === 0 ? FailureKind.UpstreamRefused : FailureKind.UpstreamLost, detail);
    }

    fail(kind: FailureKind, detail: string, retryDelayMs = refusedRetryAfterMs, isSpread = false): void {
        const { gateway, call, tally: { verdict, sends, isTooLate } } = this;
        if (verdict === Verdict.NotRun && !isTooLate && kind !== strandedRefusal.kind && isStranded(gateway, call)) {
            this.refuse(strandedRefusal);
            return;
        }
        const retryAfterMs = retryDelayMs * (isSpread ? 1 : 0.75 + gateway.random() / 2);
        answerFailedCall(call, { kind, verdict, detail, retryAfterMs: verdict === Verdict.NotRun ? retryAfterMs : undefined }, sends);
    }
}

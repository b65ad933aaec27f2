import { Verdict } from "../types/verdict";
import { AttemptOutcome, notRunOutcomes } from "./attemptOutcome";
import type { Call } from "./call";
import { mayRepeat } from "./call";
import type { QuarantineGate } from "./quarantineGate";

/** Maximum sends of one request, including those that were refused without running. */
const maxSends = 4;
/** Minimum time left for an attempt. */
const minAttemptMs = 20;

/** Counts the sends of one request, by this node and through peers, and decides whether there may be another one. */
export class SendTally {
    /** Whether the retry budget was charged for a retry that was not sent. */
    isRetryPaid = false;

    private constructor(private readonly call: Call, private readonly gate: QuarantineGate) {}

    /** Creates the tally of a request that has not been sent. */
    static create(call: Call, gate: QuarantineGate): SendTally {
        return new SendTally(call, gate);
    }

    /** Attempts that were sent. */
    get sends(): number {
        return this.call.progress.sends;
    }

    /** Sends that may have run. */
    get possibleRuns(): number {
        return this.call.progress.runs;
    }

    get verdict(): Verdict {
        return this.possibleRuns === 0 ? Verdict.NotRun : Verdict.MayHaveRun;
    }

    /** Whether too little time remains for an upstream to answer; the margin also covers timers that fire slightly early. */
    get isTooLate(): boolean {
        return this.call.deadlineAt - performance.now() < minAttemptMs;
    }

    /** Whether the request may run again while or after the present attempt runs. */
    get mayRunAgain(): boolean {
        const { route } = this.call;
        return mayRepeat(route) && this.gate.mayRunTwice && this.possibleRuns + 1 < route.maxAttempts && this.sends < maxSends;
    }

    /** Runs that a peer may make; if possible, one is left for another peer. */
    get peerRuns(): number {
        const { route } = this.call;
        return this.gate.mayRunTwice && mayRepeat(route) ? Math.max(1, route.maxAttempts - this.possibleRuns - 1) : 1;
    }

    /** Whether the request may run again if all runs of a peer are lost. */
    get mayRunAfterPeer(): boolean {
        const { route } = this.call;
        return mayRepeat(route) && this.gate.mayRunTwice && this.possibleRuns + this.peerRuns < route.maxAttempts;
    }

    /** Records sends, and how many of them may have run. */
    add(sends: number, possibleRuns: number): void {
        const { progress } = this.call;
        progress.sends += sends;
        progress.runs += possibleRuns;
    }

    /** Whether the request may be sent again after an attempt. */
    mayTryAgain(outcome: AttemptOutcome): boolean {
        const { route } = this.call;
        const isLastRun = this.possibleRuns > 0 && !this.gate.mayRunTwice;
        if (outcome === AttemptOutcome.Answered || outcome === AttemptOutcome.Unsendable || this.isTooLate || this.sends >= maxSends || isLastRun) {
            return false;
        }
        return notRunOutcomes.has(outcome) || (mayRepeat(route) && this.possibleRuns < route.maxAttempts);
    }
}

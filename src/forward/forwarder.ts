import type { UpstreamChoice } from "../core/chooseUpstream";
import { ContactState } from "../types/contactState";
import { EventId } from "../types/eventId";
import { FailureKind } from "../types/failureKind";
import { RequestStep } from "../types/requestStep";
import { softwareVersionOf } from "../types/upstreamServer";
import { emit } from "../utils/events";
import { AttemptExecutor } from "./attemptExecutor";
import { AttemptOutcome, notRunOutcomes, unsentOutcomes } from "./attemptOutcome";
import type { Call } from "./call";
import { mayRepeat } from "./call";
import { canFinishBeforeExit, mayFinishBeforeExit } from "./canFinishBeforeExit";
import { FinalAnswer, refusedRetryAfterMs } from "./finalAnswer";
import type { Gateway } from "./gateway";
import { PeerForwarder } from "./peerForwarder";
import { goesOnThroughPeer, goesThroughPeer, isStranded, strandedRefusal, unreachableRefusal } from "./peerPath";
import { QuarantineGate } from "./quarantineGate";
import { recordDemand } from "./recordDemand";
import type { Refusal } from "./refusal";
import { isKeyValid } from "./refuseKey";
import { refuseSend } from "./refuseSend";
import { relayedRefusals } from "./relayedRefusals";
import { SendTally } from "./sendTally";
import { TurnTaker } from "./turnTaker";
import { stoppingRefusal, untilExit } from "./untilExit";
import { pinTakenUpStream } from "./versionPin";
import { isRefusal, waitForUpstream } from "./waitForUpstream";

const unavailableStatus = 503;

/** Forwards one request until it has a final answer. */
export class Forwarder {
    private readonly tried = new Set<string>();
    private readonly attempts: AttemptExecutor;
    private readonly gate: QuarantineGate;
    private readonly tally: SendTally;
    private readonly answer: FinalAnswer;
    private readonly peers: PeerForwarder;
    private readonly turns: TurnTaker;
    /** Outcome of the latest attempt; undefined before the first one. */
    private outcome: AttemptOutcome | undefined;
    /** Upstream that was chosen while the latest attempt was still in progress. */
    private alternative: UpstreamChoice | undefined;
    /** Whether the latest attempt was given up for one through a peer, which the retry budget was charged for. */
    private leavesForPeer = false;

    private constructor(private readonly gateway: Gateway, private readonly call: Call) {
        this.attempts = AttemptExecutor.create(gateway, call);
        this.gate = QuarantineGate.create(gateway.crashLog, call.suspectParts);
        this.tally = SendTally.create(call, this.gate);
        this.answer = FinalAnswer.create(gateway, call, this.attempts, this.tally);
        this.peers = PeerForwarder.create(gateway, call, this.attempts.relay, this.tally, this.gate);
        this.turns = TurnTaker.create(gateway, call, this.tried, () => this.waitForUpstream());
    }

    /** Creates the forwarder of a request. */
    static create(gateway: Gateway, call: Call): Forwarder {
        return new Forwarder(gateway, call);
    }

    /** Sends the request to upstreams, or to peers that reach them, until one answers or no further attempt is allowed. */
    async run(): Promise<void> {
        const { gateway, call } = this;
        try {
            if (call.progress.relayed === undefined) {
                recordDemand(gateway, call);
            }
            if (!canFinishBeforeExit(gateway, call)) {
                this.answer.refuse(stoppingRefusal);
                return;
            }
            if (this.tally.isTooLate) {
                this.answer.fail(FailureKind.DeadlineExpired, "too little time is left for an upstream to answer");
                return;
            }
            this.gate.startTrial();
            if (goesThroughPeer(gateway, call) && await this.finishThroughPeer()) {
                return;
            }
            await this.forward();
        }
        finally {
            gateway.quietWaiters.remove(call.service, call);
            this.turns.close();
        }
    }

    private async forward(): Promise<void> {
        const { call, gateway } = this;
        call.progress.step = RequestStep.Pin;
        const first = await untilExit(gateway, pinTakenUpStream(gateway, call).then(refusal => refusal ?? this.waitForUpstream()));
        for (let next: UpstreamChoice | Refusal = first;;) {
            const ready: UpstreamChoice | Refusal = isRefusal(next) ? next : await untilExit(gateway, this.waitForTurn(next));
            if (goesThroughPeer(gateway, call) && await this.finishThroughPeer()) {
                return;
            }
            if (isRefusal(ready) || isStranded(gateway, call)) {
                this.answer.refuseOrFinish(this.outcome, isRefusal(ready) ? ready : strandedRefusal);
                return;
            }
            if (this.outcome !== undefined) {
                this.prepareRetry();
            }
            gateway.quietWaiters.remove(call.service, call);
            this.outcome = await this.attempt(ready);
            if (call.signal.aborted) {
                return;
            }
            if (!this.tally.mayTryAgain(this.outcome)) {
                this.answer.finish(this.outcome);
                return;
            }
            if ((this.leavesForPeer || goesOnThroughPeer(gateway, call, this.outcome)) && await this.finishThroughPeer()) {
                return;
            }
            next = await untilExit(gateway, this.chooseNextUpstream());
            if (isRefusal(next)) {
                if (goesThroughPeer(gateway, call) && await this.finishThroughPeer()) {
                    return;
                }
                this.refuseNext(this.outcome, next);
                return;
            }
        }
    }

    /** Offers the request to peers; returns whether that was the end of it. */
    private async finishThroughPeer(): Promise<boolean> {
        const { gateway, call, answer, peers, tally } = this;
        const end = await peers.run(this.outcome);
        const { outcome } = peers;
        this.outcome = outcome;
        if (call.signal.aborted) {
            return true;
        }
        if (end.kind === "refused") {
            answer.refuseOrFinish(outcome, end.refusal);
            return true;
        }
        if (outcome !== undefined && (end.kind === "finished" || !tally.mayTryAgain(outcome))) {
            answer.finish(outcome);
            return true;
        }
        if (gateway.contact.state === ContactState.Lost) {
            gateway.peers.onUntaken();
            answer.refuseOrFinish(outcome, unreachableRefusal);
            return true;
        }
        return false;
    }

    private waitForUpstream(): Promise<UpstreamChoice | Refusal> {
        const { gateway, call } = this;
        call.progress.step = RequestStep.Choose;
        return waitForUpstream(gateway, call, this.tried, this.gate);
    }

    /** Waits until a request may be sent to the chosen upstream, or to another one. */
    private async waitForTurn(choice: UpstreamChoice): Promise<UpstreamChoice | Refusal> {
        const { gateway, call } = this;
        const next = await this.turns.take(choice);
        if (isRefusal(next)) {
            return next;
        }
        return refuseSend(gateway, call, this.gate) ?? (this.attempts.relay.hasBegun || mayFinishBeforeExit(gateway, call) ? next : stoppingRefusal);
    }

    private async attempt(choice: UpstreamChoice): Promise<AttemptOutcome> {
        const { call: { progress }, tally, gateway } = this;
        const { server } = choice.candidate;
        progress.upstream = server.id;
        progress.softwareVersion = softwareVersionOf(server);
        this.tried.add(server.id);
        tally.add(1, 0);
        const outcome = await this.attempts.run(choice, tally.sends, this.failOver());
        this.turns.onAttemptEnd(server, outcome === AttemptOutcome.NotRun && this.attempts.relay.head?.status === unavailableStatus);
        if (unsentOutcomes.has(outcome)) {
            tally.add(-1, 0);
        }
        else if (!notRunOutcomes.has(outcome)) {
            tally.add(0, 1);
        }
        progress.mayHaveRun = tally.possibleRuns > 0;
        progress.framing = this.attempts.end?.framing;
        tally.isRetryPaid = this.leavesForPeer || (outcome === AttemptOutcome.Withheld && tally.sends > 0);
        // An upstream that asked for quiet, or still loads the model, has not failed the request: it may get it after that time.
        if (
            outcome === AttemptOutcome.Withheld || outcome === AttemptOutcome.TooEarly ||
            (outcome === AttemptOutcome.NotRun && gateway.availability.quietMsOf(server) > 0)
        ) {
            this.tried.delete(server.id);
        }
        return outcome;
    }

    /** What is tried while an upstream is silent; undefined if the request must not run again, here or at a peer. */
    private failOver(): (() => boolean) | undefined {
        const { gateway, call, tally: { mayRunAgain } } = this;
        const isRelayed = call.progress.relayed !== undefined;
        this.leavesForPeer = false;
        if (!mayRunAgain && !(isRelayed && mayRepeat(call.route))) {
            return undefined;
        }
        return () => {
            if (!isKeyValid(gateway, call) || isStranded(gateway, call)) {
                return isKeyValid(gateway, call);
            }
            const isReached = isRelayed || gateway.contact.state === ContactState.Held ? false : gateway.peers.reach.check();
            if (isReached !== false) {
                this.leavesForPeer = isReached === true && gateway.budgetOf(call.service).withdraw();
                return this.leavesForPeer;
            }
            this.alternative = mayRunAgain ? this.turns.takeAlternative() : undefined;
            return this.alternative !== undefined;
        };
    }

    /** Another upstream, if one is available and the service's retry budget allows it; otherwise why not. */
    private async chooseNextUpstream(): Promise<UpstreamChoice | Refusal> {
        const { gateway, call, alternative, tally } = this;
        this.alternative = undefined;
        if (alternative) {
            return alternative;
        }
        const choice = await this.waitForUpstream();
        if (isRefusal(choice) || tally.sends === 0 || tally.isRetryPaid || gateway.budgetOf(call.service).withdraw()) {
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

    /** Answers a request for which there is no further upstream. */
    private refuseNext(outcome: AttemptOutcome, refusal: Refusal): void {
        if (refusal.kind !== undefined && relayedRefusals.has(refusal.kind)) {
            this.answer.refuseOrFinish(outcome, refusal);
        }
        else {
            this.answer.finish(outcome, refusal.detail);
        }
    }
}

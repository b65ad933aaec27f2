import { EventId } from "../types/eventId";
import { FailureKind } from "../types/failureKind";
import { emit } from "../utils/events";
import type { AnswerRelay } from "./answerRelay";
import { AttemptOutcome } from "./attemptOutcome";
import type { Call } from "./call";
import { mayFinishBeforeExit } from "./canFinishBeforeExit";
import { refusedRetryAfterMs } from "./finalAnswer";
import type { Gateway } from "./gateway";
import type { PeerAttemptEnd } from "./peerAttempt";
import { runPeerAttempt } from "./peerAttempt";
import type { QuarantineGate } from "./quarantineGate";
import type { Refusal } from "./refusal";
import { refuseSend } from "./refuseSend";
import type { SendTally } from "./sendTally";
import { stoppingRefusal } from "./untilExit";

/** Peers that are asked for one request. */
const maxPeers = 5;

/** Failures of a peer itself, after which another one is asked, with the time for which the peer is not asked again. */
const avoidedMsByKind: Readonly<Partial<Record<FailureKind, number>>> = {
    [FailureKind.RelayRefused]: 1_000,
    [FailureKind.NotReady]: 1_000,
    [FailureKind.Stopping]: 3_000,
    [FailureKind.MemoryShort]: 500,
    [FailureKind.HeapShort]: 500,
    [FailureKind.ConnectionsShort]: 500,
};
/** Share of the request's remaining time after which no further peer is asked, if the time went to connections that were not opened. */
const maxConnectShare = 0.4;
/** Time for which a peer is not asked that could not be reached, or whose connection was lost. */
const lostPeerAvoidedMs = 1_000;

/** What became of a request that was offered to peers. */
export type PeerForwardingEnd =
    /** There is a final outcome of its attempts. */
    | { readonly kind: "finished"; readonly outcome: AttemptOutcome; }
    /** A peer, or this node, refuses it for a reason that has nothing to do with the path. */
    | { readonly kind: "refused"; readonly refusal: Refusal; }
    /** No peer took it (again). */
    | { readonly kind: "untaken"; };

/** Sends a request of this node's caller through peers, until an upstream has answered one of them or no further attempt is allowed. */
export class PeerForwarder {
    private readonly asked = new Set<string>();
    /** Time that went to connections that were not opened. */
    private connectMs = 0;
    /** Outcome of the latest attempt, of this node or through a peer. */
    outcome: AttemptOutcome | undefined;

    private constructor(
        private readonly gateway: Gateway,
        private readonly call: Call,
        private readonly relay: AnswerRelay,
        private readonly tally: SendTally,
        private readonly gate: QuarantineGate,
    ) {}

    static create(gateway: Gateway, call: Call, relay: AnswerRelay, tally: SendTally, gate: QuarantineGate): PeerForwarder {
        return new PeerForwarder(gateway, call, relay, tally, gate);
    }

    /** Offers the request to peers after an attempt with the outcome, if there was one. */
    async run(outcome: AttemptOutcome | undefined): Promise<PeerForwardingEnd> {
        const { gateway, call, tally } = this;
        this.outcome = outcome;
        const maxConnectMs = maxConnectShare * (call.deadlineAt - performance.now());
        for (let count = 0; count < maxPeers && !call.signal.aborted && this.connectMs < maxConnectMs; count++) {
            const peer = gateway.peers.choice.chooseForRequest(this.asked);
            if (peer === undefined) {
                break;
            }
            const refusal = this.refuse();
            if (refusal) {
                return { kind: "refused", refusal };
            }
            this.prepare();
            emit(EventId.RequestPassedOn, { request: call.caller.requestId, peer, contact: gateway.contact.state, after: this.outcome, sends: tally.sends });
            const sentAt = performance.now();
            const end = await runPeerAttempt(gateway, call, this.relay, { address: peer, maxRuns: tally.peerRuns, mayMove: this.mayMoveFrom(peer) });
            this.connectMs += end.outcome === AttemptOutcome.Unsent ? performance.now() - sentAt : 0;
            this.record(peer, end);
            if (!this.isUntaken(end) && end.outcome === AttemptOutcome.NotRun) {
                return { kind: "refused", refusal: this.refusalOf(end) };
            }
            if (!tally.mayTryAgain(end.outcome)) {
                return { kind: "finished", outcome: end.outcome };
            }
        }
        return { kind: "untaken" };
    }

    /** Why the request must not be sent (again) by anybody. */
    private refuse(): Refusal | undefined {
        const { gateway, call, tally } = this;
        const refusal = refuseSend(gateway, call, this.gate) ?? (this.relay.hasBegun || mayFinishBeforeExit(gateway, call) ? undefined : stoppingRefusal);
        if (refusal || tally.sends === 0 || tally.isRetryPaid) {
            return refusal;
        }
        if (!gateway.budgetOf(call.service).withdraw()) {
            return { kind: FailureKind.RetryBudgetSpent, detail: "the retry budget of the service is spent", retryAfterMs: refusedRetryAfterMs };
        }
        tally.isRetryPaid = true;
        return undefined;
    }

    private mayMoveFrom(peer: string): (() => boolean) | undefined {
        const { gateway: { peers }, tally } = this;
        return tally.mayRunAfterPeer ? () => peers.choice.choose(new Set([...this.asked, peer])) !== undefined : undefined;
    }

    private prepare(): void {
        const { relay, call } = this;
        if (this.outcome === undefined) {
            return;
        }
        if (relay.hasBegun) {
            emit(EventId.StreamResumed, { request: call.caller.requestId, after: relay.lastEventId });
        }
        relay.reset();
    }

    private record(peer: string, end: PeerAttemptEnd): void {
        const { call, tally, gateway: { peers, peers: { choice } } } = this;
        const { outcome, sends, runs, report, isGivenUp } = end;
        tally.add(sends, runs);
        tally.isRetryPaid &&= sends === 0;
        call.progress.mayHaveRun = tally.possibleRuns > 0;
        call.versionPin.recordedElsewhere = report?.softwareVersion ?? call.versionPin.recordedElsewhere;
        this.outcome = outcome;
        if (outcome === AttemptOutcome.RanAndFailed) {
            this.relay.keep(call.progress.upstream ?? peer);
        }
        const avoidedMs = report && !isGivenUp ? report.failure && avoidedMsByKind[report.failure.kind] : lostPeerAvoidedMs;
        if (avoidedMs === undefined) {
            choice.onTaken(peer);
            peers.onTaken();
        }
        else if (!call.signal.aborted && !tally.isTooLate) {
            this.asked.add(peer);
            choice.onUntaken(peer, avoidedMs);
        }
    }

    /** Whether another peer may take the request, as this one did not for a reason of its own. */
    private isUntaken({ outcome, report }: PeerAttemptEnd): boolean {
        return outcome === AttemptOutcome.Unsent || (report?.failure !== undefined && avoidedMsByKind[report.failure.kind] !== undefined);
    }

    private refusalOf({ reason, report }: PeerAttemptEnd): Refusal {
        const { kind, detail, retryAfterMs } = report?.failure ?? { kind: FailureKind.NoUpstream, detail: reason, retryAfterMs: undefined };
        return { kind, detail, retryAfterMs: retryAfterMs ?? refusedRetryAfterMs, isSpread: retryAfterMs !== undefined };
    }
}

import { EventId } from "../types/eventId";
import type { RelayReport } from "../types/relayReport";
import { RequestStep } from "../types/requestStep";
import { Verdict } from "../types/verdict";
import { emit } from "../utils/events";
import { describeError, errorCodeOf } from "../utils/transport";
import { AnswerFraming } from "./answerFraming";
import type { AnswerRelay } from "./answerRelay";
import type { AnswerHead, AnswerSink } from "./answerSink";
import { SinkState } from "./answerSink";
import type { AttemptGuard } from "./attempt";
import { sendAttempt } from "./attempt";
import type { AttemptEnd } from "./attemptEnd";
import { AttemptEndKind } from "./attemptEnd";
import { AttemptOutcome } from "./attemptOutcome";
import { AttemptTimers } from "./attemptTimers";
import type { Call } from "./call";
import type { Gateway } from "./gateway";
import { toRelayedRequest } from "./outgoingRequest";
import { PeerSilence } from "./peerSilence";
import { isKeyValid } from "./refuseKey";
import { decodeReport, withoutReport } from "./relayHeaders";
import { pinToBegun } from "./versionPin";

const minServerErrorStatus = 500;

const createPeerGuard = (gateway: Gateway, call: Call): AttemptGuard => ({
    mayStillSend: () => isKeyValid(gateway, call),
    onAnyHead: () => undefined,
    onArrival: () => undefined,
    onPart: bytes => gateway.receivedParts.count(bytes),
});

/** The peer of an attempt, and what it may do. */
export interface PeerAttemptTarget {
    readonly address: string;
    readonly maxRuns: number;
    /** Whether another peer would take the request if this one is no longer alive; undefined if the request must not run again. */
    readonly mayMove: (() => boolean) | undefined;
}

/** How an attempt through a peer ended. */
export interface PeerAttemptEnd {
    readonly outcome: AttemptOutcome;
    readonly reason: string;
    /** What the peer says; undefined if nothing arrived that can be read. */
    readonly report: RelayReport | undefined;
    /** Sends to upstreams, and those of them that may have run. */
    readonly sends: number;
    readonly runs: number;
    /** Whether it was given up, as the peer was silent or the time over. */
    readonly isGivenUp: boolean;
}

/** Passes the answer of an upstream on as the peer relays it, and keeps back what the peer says itself. */
class PeerAnswerSink implements AnswerSink {
    report: RelayReport | undefined;
    head: AnswerHead | undefined;

    constructor(private readonly gateway: Gateway, private readonly call: Call, private readonly relay: AnswerRelay) {}

    /** Whether the answer is an upstream's. */
    get isAnswer(): boolean {
        return this.report !== undefined && this.report.failure === undefined;
    }

    onHead(head: AnswerHead): void {
        const report = decodeReport(head.headers);
        this.report = report;
        this.head = head;
        if (report && this.isAnswer) {
            this.call.progress.upstream = report.upstream ?? this.call.progress.peer;
            this.relay.onHead({ ...head, headers: withoutReport(head.headers) });
        }
    }

    onData(chunk: Buffer, resume: () => void): SinkState {
        if (!this.isAnswer) {
            return SinkState.Ready;
        }
        const state = this.relay.onData(chunk, resume);
        if (this.relay.attemptEventAt !== undefined) {
            pinToBegun(this.gateway, this.call, this.report?.softwareVersion);
        }
        return state;
    }
}

const classify = (relay: AnswerRelay, { kind, reason, framing }: AttemptEnd, { report, head, isAnswer }: PeerAnswerSink): readonly [AttemptOutcome, string] => {
    if (kind === AttemptEndKind.Unsendable) {
        return [AttemptOutcome.Unsendable, reason];
    }
    if (kind === AttemptEndKind.Unsent || kind === AttemptEndKind.Withdrawn || kind === AttemptEndKind.Withheld) {
        return [AttemptOutcome.Unsent, reason];
    }
    if (report?.failure) {
        return [report.verdict === Verdict.NotRun ? AttemptOutcome.NotRun : AttemptOutcome.MayHaveRun, report.failure.kind];
    }
    // A node frames its answers: one that ends with its connection was cut.
    if (kind !== AttemptEndKind.Complete || framing === AnswerFraming.Connection || !head || !isAnswer || relay.isBrokenOff(false)) {
        return [AttemptOutcome.MayHaveRun, head && !report ? "answer without a report" : reason];
    }
    if (!head.decoded.isSigned || (head.status < minServerErrorStatus && !relay.canComplete)) {
        return [AttemptOutcome.MayHaveRun, "not an answer that can be relayed"];
    }
    return [head.status < minServerErrorStatus ? AttemptOutcome.Answered : AttemptOutcome.RanAndFailed, reason];
};

const exchange = async (
    gateway: Gateway,
    call: Call,
    relay: AnswerRelay,
    { address, maxRuns, mayMove }: PeerAttemptTarget,
    sink: AnswerSink,
): Promise<AttemptEnd> => {
    const abort = new AbortController();
    const onCallerAbort = (): void => abort.abort();
    call.signal.addEventListener("abort", onCallerAbort, { once: true });
    if (call.signal.aborted) {
        // The caller left while the request waited, so there will be no event.
        abort.abort();
    }
    const timers = AttemptTimers.start(call, abort, gateway.attemptsEnd);
    const toRequest = () => {
        const req = toRelayedRequest(gateway, call, relay, maxRuns);
        call.progress.mayHaveRun = true;
        return req;
    };
    try {
        if (mayMove) {
            timers.watchSilence(PeerSilence.create(gateway.peers.prober, address, relay), mayMove);
        }
        return await sendAttempt(gateway.peers.poolOf(address), toRequest, gateway.wire, sink, createPeerGuard(gateway, call), call.presence, abort.signal);
    }
    catch (err) {
        // Once the request is sent, its attempt has an end and no error.
        emit(EventId.AttemptStepFailed, { request: call.caller.requestId, step: call.progress.step, detail: describeError(err) });
        return { kind: AttemptEndKind.Unsent, reason: errorCodeOf(err), framing: undefined };
    }
    finally {
        timers.stop();
        call.signal.removeEventListener("abort", onCallerAbort);
    }
};

/** Sends a request to a peer and passes on what an upstream answers. */
export const runPeerAttempt = async (gateway: Gateway, call: Call, relay: AnswerRelay, target: PeerAttemptTarget): Promise<PeerAttemptEnd> => {
    const { progress } = call;
    const { address: peer, maxRuns } = target;
    const sentAt = performance.now();
    const sink = new PeerAnswerSink(gateway, call, relay);
    progress.step = RequestStep.Send;
    progress.peer = peer;
    gateway.peers.passedOn++;
    gateway.peers.choice.onBegin(peer);
    const end = await exchange(gateway, call, relay, target, sink).finally(() => {
        gateway.peers.passedOn--;
        gateway.peers.choice.onEnd(peer);
    });
    progress.framing = end.framing;
    const { report } = sink;
    const [outcome, reason] = classify(relay, end, sink);
    const isCounted = report !== undefined && (report.failure !== undefined || end.kind === AttemptEndKind.Complete);
    const isUnsent = outcome === AttemptOutcome.Unsent || outcome === AttemptOutcome.Unsendable;
    // What a peer did that says nothing in the end is not known.
    const lostRuns = isUnsent ? 0 : maxRuns;
    const sends = isCounted ? report.sends : lostRuns;
    const runs = isCounted ? report.runs : lostRuns;
    const afterMs = Math.round(performance.now() - sentAt);
    emit(EventId.RelayEnded, {
        request: call.caller.requestId,
        peer,
        outcome,
        reason,
        detail: report?.failure?.detail,
        sends,
        runs,
        afterMs,
        framing: end.framing,
    });
    return { outcome, reason, report, sends, runs, isGivenUp: end.kind === AttemptEndKind.Aborted };
};

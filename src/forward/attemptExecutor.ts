import type { UpstreamChoice } from "../core/chooseUpstream";
import type { UpstreamTraffic } from "../core/upstreamTraffic";
import { EventId } from "../types/eventId";
import { RequestStep } from "../types/requestStep";
import type { UpstreamServer } from "../types/upstreamServer";
import { processKey, softwareVersionOf } from "../types/upstreamServer";
import { Verdict } from "../types/verdict";
import { emit } from "../utils/events";
import { describeError, errorCodeOf } from "../utils/transport";
import { AnswerFraming } from "./answerFraming";
import { AnswerRelay } from "./answerRelay";
import type { OutgoingRequest } from "./attempt";
import { sendAttempt } from "./attempt";
import type { AttemptEnd } from "./attemptEnd";
import { AttemptEndKind, OwnFault, unsentKinds } from "./attemptEnd";
import { createAttemptGuard } from "./attemptGuard";
import { AttemptOutcome } from "./attemptOutcome";
import { AttemptTimers } from "./attemptTimers";
import type { Call } from "./call";
import { CrashObserver } from "./crashObserver";
import { isCutOffWithUpstream } from "./endCheck";
import type { Gateway } from "./gateway";
import { admitsGenerations, expectedTokensOf } from "./generationTerms";
import { logAttemptFailed } from "./logAttemptFailed";
import { logSent } from "./logSent";
import { toOutgoingRequest } from "./outgoingRequest";
import { recordFailedConnection } from "./recordFailedConnection";
import { recordOutput } from "./recordOutput";
import { countFailure, failedRunWeight, minServerErrorStatus, recordRefusal } from "./recordRefusal";
import { SilenceWatch } from "./silenceWatch";
import { SpeedObserver } from "./speedObserver";
import { pinToBegun } from "./versionPin";

/** Executes the attempts of one request, one after the other, and updates the upstream's traffic statistics after each. */
export class AttemptExecutor {
    readonly relay: AnswerRelay;
    /** Undefined outside this node's own attempts: what the relay observes then comes through a peer. */
    private choice: UpstreamChoice | undefined;
    private sentAt = 0;
    /** How the latest attempt ended. */
    end: AttemptEnd | undefined;
    private readonly crashObserver: CrashObserver;
    private readonly speedObserver: SpeedObserver;
    /** Whether the latest attempt has not received its first byte yet. */
    private isAwaitingFirstByte = false;

    private constructor(private readonly gateway: Gateway, private readonly call: Call) {
        this.speedObserver = SpeedObserver.create(gateway, call);
        this.relay = AnswerRelay.create(call, gateway.settings.limits, gateway.answerMemory.open(), {
            onHead: () => this.onHead(),
            onFirstEvent: () => {
                if (this.choice) {
                    this.speedObserver.onFirstEvent();
                    pinToBegun(gateway, call, softwareVersionOf(this.choice.candidate.server));
                }
            },
            onEventGap: ms => {
                if (this.choice) {
                    this.choice.candidate.traffic.onEventGap(ms);
                    this.speedObserver.onEventGap(ms);
                }
                this.crashObserver.onEvent();
            },
        }, admitsGenerations(gateway, call.service) ? gateway.slowReaders : undefined);
        this.crashObserver = CrashObserver.create(gateway, call, this.relay);
    }

    /** Creates the executor of a request's attempts. */
    static create(gateway: Gateway, call: Call): AttemptExecutor {
        return new AttemptExecutor(gateway, call);
    }

    /**
     * Sends the request to an upstream. `failOver` is called if the upstream is silent; the attempt is aborted if it returns true, which means
     * that another upstream has been chosen. It is undefined if the request must not run again.
     */
    async run(choice: UpstreamChoice, send: number, failOver: (() => boolean) | undefined): Promise<AttemptOutcome> {
        const { call, gateway } = this;
        const { server, traffic } = choice.candidate;
        const mayHaveRunBefore = call.progress.mayHaveRun;
        call.progress.step = RequestStep.Send;
        this.choice = choice;
        this.sentAt = performance.now();
        this.speedObserver.onSend(choice);
        this.isAwaitingFirstByte = true;
        traffic.begin(expectedTokensOf(gateway, call));
        gateway.contact.countInProgress(1);
        traffic.pendingPrefillMs += choice.prefillMs;
        const abort = new AbortController();
        const onCallerAbort = (): void => abort.abort();
        call.signal.addEventListener("abort", onCallerAbort, { once: true });
        if (call.signal.aborted) {
            // The caller left while the request waited, so there will be no event.
            abort.abort();
        }
        const timers = AttemptTimers.start(call, abort, gateway.attemptsEnd);
        let end: AttemptEnd;
        try {
            if (failOver) {
                timers.watchSilence(SilenceWatch.create(gateway, call, choice, this.relay), failOver);
            }
            end = await this.send(choice, send, abort.signal);
        }
        catch (err) {
            // Once the request is sent, its attempt has an end and no error.
            emit(EventId.AttemptStepFailed, { request: call.caller.requestId, step: call.progress.step, detail: describeError(err) });
            end = { kind: AttemptEndKind.Unsent, reason: errorCodeOf(err), framing: undefined, own: OwnFault.Request };
        }
        finally {
            timers.stop();
            call.signal.removeEventListener("abort", onCallerAbort);
            traffic.end(expectedTokensOf(gateway, call));
            gateway.contact.countInProgress(-1);
            this.removePendingPrefill(choice);
            this.choice = undefined;
        }
        this.end = end;
        recordFailedConnection(gateway.contact, server, end);
        if (unsentKinds.has(end.kind)) {
            call.progress.mayHaveRun = mayHaveRunBefore;
        }
        call.progress.step = RequestStep.Classify;
        if (await this.isCutOff(server, end)) {
            this.crashObserver.onLost(server);
            return this.recordLost(server.id, traffic, "the upstream ended with its answer");
        }
        return this.classify(choice, end);
    }

    private send(choice: UpstreamChoice, send: number, signal: AbortSignal): Promise<AttemptEnd> {
        const { call, gateway } = this;
        const { server } = choice.candidate;
        logSent(call, choice, send);
        const pool = gateway.connectionPoolOf(server.id, server.address);
        const guard = createAttemptGuard(gateway, call, server, this.sentAt);
        const toRequest = (): OutgoingRequest => {
            const req = toOutgoingRequest(gateway, call, this.relay, server.id);
            call.progress.mayHaveRun = true;
            return req;
        };
        return sendAttempt(pool, toRequest, gateway.wire, this.relay, guard, call.presence, signal);
    }

    private removePendingPrefill({ candidate, prefillMs }: UpstreamChoice): void {
        if (this.isAwaitingFirstByte) {
            this.isAwaitingFirstByte = false;
            candidate.traffic.pendingPrefillMs = Math.max(0, candidate.traffic.pendingPrefillMs - prefillMs);
        }
    }

    private onHead(): void {
        const { choice, call } = this;
        const decoded = this.relay.head?.decoded;
        if (!choice || !decoded) {
            return;
        }
        const { traffic, server } = choice.candidate;
        this.removePendingPrefill(choice);
        if (decoded.load) {
            traffic.onReportedLoad(decoded.load);
        }
        // An answer that asks for quiet says nothing of a limit unless it names one.
        if ((decoded.isSigned && decoded.quietMs === undefined) || decoded.limitPerS !== undefined) {
            this.gateway.runnerLimits.onAnswer(processKey(server), decoded.limitPerS, this.sentAt);
        }
        if (!decoded.isNotExecuted) {
            traffic.onFirstByte(performance.now() - this.sentAt, decoded.load?.pace);
            this.speedObserver.onHead(decoded.load);
            if (call.caller.modelRequest) {
                this.gateway.cache.record(server.id, call.caller.modelRequest);
            }
        }
    }

    /** Whether an answer that is complete by all that arrived was cut off by the end of its upstream. */
    private async isCutOff(server: UpstreamServer, { kind, framing }: AttemptEnd): Promise<boolean> {
        const { call, relay } = this;
        const mayBeCut = kind === AttemptEndKind.Complete && framing === AnswerFraming.Connection && !relay.isBrokenOff(true);
        return mayBeCut && relay.head?.decoded.isSigned === true && await isCutOffWithUpstream(this.gateway, call, server);
    }

    private classify({ candidate }: UpstreamChoice, end: AttemptEnd): AttemptOutcome {
        const { relay } = this;
        const { server, traffic } = candidate;
        const { head } = relay;
        if (end.kind === AttemptEndKind.Withheld) {
            emit(EventId.SendWithheld, { request: this.call.caller.requestId, upstream: server.id, availability: this.gateway.availability.of(server) });
            return AttemptOutcome.Withheld;
        }
        if (end.kind === AttemptEndKind.Unsendable) {
            this.logFailed(server.id, end.reason, Verdict.NotRun);
            return AttemptOutcome.Unsendable;
        }
        if (end.kind === AttemptEndKind.Unsent || end.kind === AttemptEndKind.Withdrawn) {
            const isUnreached = end.own === undefined || end.own === OwnFault.System;
            if (end.kind === AttemptEndKind.Unsent && isUnreached && !this.call.signal.aborted && !this.gateway.contact.wasLostSince(this.sentAt)) {
                traffic.onUnreachable();
            }
            this.logFailed(server.id, end.reason, Verdict.NotRun);
            return AttemptOutcome.Unsent;
        }
        if (end.kind !== AttemptEndKind.Complete || !head) {
            if (end.kind === AttemptEndKind.Lost) {
                this.crashObserver.onLost(server);
            }
            return this.recordLost(server.id, traffic, end.reason);
        }
        const endsWithConnection = end.framing === AnswerFraming.Connection;
        if (relay.isBrokenOff(endsWithConnection)) {
            this.crashObserver.onLost(server);
            return this.recordLost(server.id, traffic, "stream broken off");
        }
        if (head.decoded.isNotExecuted) {
            const outcome = recordRefusal(this.gateway, this.call, head.decoded, candidate);
            const cause = outcome === AttemptOutcome.TooEarly ? ", its load of the model takes longer than expected" : "";
            this.logFailed(server.id, `refused with ${head.status}${cause}`, Verdict.NotRun);
            return outcome;
        }
        if (!head.decoded.isSigned) {
            return this.recordLost(server.id, traffic, "answer without a seal");
        }
        if (head.status < minServerErrorStatus && !relay.canComplete) {
            return this.recordLost(server.id, traffic, "not a continuation of the stream");
        }
        if (head.status < minServerErrorStatus) {
            traffic.onSuccess();
            recordOutput(this.gateway, this.call, relay.eventCount);
            this.crashObserver.onAnswered(candidate, endsWithConnection);
            return AttemptOutcome.Answered;
        }
        this.crashObserver.onAnswered(candidate, endsWithConnection);
        countFailure(traffic, head.decoded, failedRunWeight);
        this.logFailed(server.id, `failed with ${head.status}`, Verdict.Ran);
        relay.keep(server.id);
        return AttemptOutcome.RanAndFailed;
    }

    private recordLost(upstream: string, traffic: UpstreamTraffic, reason: string): AttemptOutcome {
        if (!this.gateway.contact.wasLostSince(this.sentAt)) {
            countFailure(traffic, this.relay.head?.decoded);
        }
        this.logFailed(upstream, reason, Verdict.MayHaveRun);
        return AttemptOutcome.MayHaveRun;
    }

    private logFailed(upstream: string, reason: string, verdict: Verdict): void {
        logAttemptFailed(this.call, this.relay, { upstream, reason, verdict, sentAt: this.sentAt, framing: this.end?.framing, received: this.end?.received });
    }
}

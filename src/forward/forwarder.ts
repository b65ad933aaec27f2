import type { Choice } from "../core/chooseUpstream";
import { workOf } from "../core/chooseUpstream";
import { EventId } from "../types/eventId";
import type { Failure } from "../types/failure";
import { FailureKind } from "../types/failureKind";
import { artifactOf } from "../types/modelNeed";
import { RouteKind } from "../types/servingConfig";
import { Verdict } from "../types/verdict";
import { emit } from "../utils/events";
import { AnswerRelay } from "./answerRelay";
import type { AttemptEnd, OutgoingRequest } from "./attempt";
import { AttemptEndKind, sendAttempt } from "./attempt";
import type { Call } from "./call";
import { mayRepeat } from "./call";
import type { Gateway } from "./gateway";
import { answerFailure } from "./refusal";
import { findUpstream, isRefusal } from "./findUpstream";

/** Upstreams told of a deadline this much sooner than it is: their answer has to come back. */
const returnMs = 8;
/** Sends of one request, with those that were refused unrun. */
const maxSends = 4;
/** A stream that may go on elsewhere is given up after this pause; callers leave after 2 s. */
const maxPauseMs = 1_500;
/** Patience with an upstream that has not begun to answer what may be repeated: a floor, and a factor of its usual latency. */
const minPatienceMs = 400;
const patienceFactor = 6;
const refusedRetryAfterMs = 700;

/** Another node can take the request at once. */
const stoppingRetryMs = 50;
/** Time that a stopping node allows for a plain request, and for a generation besides its tokens. */
const plainRequestMs = 1_200;
const outputTokenMs = 8;

/** Whether a request that comes now can be answered before the process ends. */
const canFinish = ({ endsAt }: Gateway, { caller }: Call): boolean =>
    performance.now() + plainRequestMs + (caller.need?.maxOutputTokens ?? 0) * outputTokenMs < endsAt;

/** What became of an attempt. */
enum Outcome {
    Done = "done",
    NotRun = "not-run",
    MayHaveRun = "may-have-run",
    /** An upstream ran the request and failed it; its answer is kept. */
    RanAndFailed = "ran-and-failed",
}

/** Forwards one request until it has a final answer. */
export class Forwarder {
    private readonly met = new Set<string>();
    private readonly relay: AnswerRelay;
    private sends = 0;
    private runs = 0;
    private choice: Choice | undefined;
    private sentAt = 0;

    private constructor(private readonly gateway: Gateway, private readonly call: Call) {
        this.relay = AnswerRelay.create(call, head => this.onHead(head.told.load));
    }

    /** Makes the forwarder of a request. */
    static create(gateway: Gateway, call: Call): Forwarder {
        return new Forwarder(gateway, call);
    }

    /** Sends the request to upstreams until one answers, or nothing more may be tried. */
    async run(): Promise<void> {
        const { call, gateway } = this;
        gateway.budgetOf(call.service).countRequest();
        if (call.caller.need) {
            gateway.placement.countWork(artifactOf(call.caller.need.model, call.caller.need.adapter), workOf(call.caller.need));
        }
        if (!canFinish(gateway, call)) {
            this.fail(FailureKind.Stopping, "the node ends before the request could", stoppingRetryMs);
            return;
        }
        const first = await findUpstream(gateway, call, this.met);
        if (isRefusal(first)) {
            this.fail(FailureKind.NoUpstream, first.detail, first.retryAfterMs);
            return;
        }
        let next: Choice | undefined = first;
        while (next) {
            this.choice = next;
            const outcome = await this.attempt(next);
            if (outcome === Outcome.Done || call.signal.aborted) {
                return;
            }
            next = this.mayTryAgain(outcome) ? await this.chooseAgain() : undefined;
            if (!next) {
                this.giveUp(outcome);
                return;
            }
            if (this.relay.hasBegun) {
                emit(EventId.StreamResumed, { request: call.caller.requestId, after: this.relay.lastEventId });
            }
            this.relay.reset();
        }
    }

    /** A further upstream, if there is one and the service's budget allows a repeat. */
    private async chooseAgain(): Promise<Choice | undefined> {
        const { gateway, call } = this;
        const choice = await findUpstream(gateway, call, this.met);
        if (isRefusal(choice)) {
            return undefined;
        }
        const isFree = this.sends === 0;
        return isFree || gateway.budgetOf(call.service).takeRepeat() ? choice : undefined;
    }

    private mayTryAgain(outcome: Outcome): boolean {
        const { route, deadlineAt } = this.call;
        if (performance.now() >= deadlineAt || this.sends >= maxSends) {
            return false;
        }
        return outcome === Outcome.NotRun || (mayRepeat(route) && this.runs < route.maxAttempts);
    }

    private giveUp(outcome: Outcome): void {
        if (outcome === Outcome.RanAndFailed && !this.relay.hasBegun) {
            this.finish();
            return;
        }
        const isLate = performance.now() >= this.call.deadlineAt;
        this.fail(isLate ? FailureKind.DeadlineExpired : this.runs === 0 ? FailureKind.UpstreamRefused : FailureKind.UpstreamLost, "no upstream answered");
    }

    private fail(kind: FailureKind, detail: string, afterMs = refusedRetryAfterMs): void {
        const verdict = this.runs === 0 ? Verdict.NotRun : Verdict.MayHaveRun;
        const retryAfterMs = verdict === Verdict.NotRun ? afterMs * (0.75 + this.gateway.random() / 2) : undefined;
        const failure: Failure = { kind, verdict, detail, retryAfterMs };
        const { caller, route, service, configVersion } = this.call;
        const { model, adapter } = caller.need ?? {};
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

    private finish(): void {
        this.relay.complete();
        const { caller, route } = this.call;
        emit(EventId.RequestAnswered, {
            request: caller.requestId,
            route: route.name,
            upstream: this.choice?.candidate.server.id,
            status: this.relay.head?.status,
            sends: this.sends,
            afterMs: this.elapsedMs(),
        });
    }

    private elapsedMs(): number {
        return Math.round(performance.now() - this.call.startedAt);
    }

    private async attempt(choice: Choice): Promise<Outcome> {
        const { call, gateway } = this;
        const { server, traffic } = choice.candidate;
        const abort = new AbortController();
        const timers = this.startTimers(choice, abort);
        const onLeave = (): void => abort.abort();
        call.signal.addEventListener("abort", onLeave, { once: true });
        this.met.add(server.id);
        this.sends++;
        this.sentAt = performance.now();
        traffic.inFlight++;
        traffic.pendingPrefillMs += choice.prefillMs;
        this.isWaiting = true;
        emit(EventId.RequestSent, {
            request: call.caller.requestId,
            upstream: server.id,
            send: this.sends,
            predictedMs: Math.round(choice.predictedMs),
            load: Math.round(traffic.load),
            configVersion: call.configVersion,
        });
        const end = await sendAttempt(gateway.connectionsOf(server.id, server.address), this.toOutgoing(server.id), gateway.wire, this.relay, abort.signal);
        timers.forEach(clearInterval);
        call.signal.removeEventListener("abort", onLeave);
        traffic.inFlight--;
        this.endWaiting(choice);
        return this.judge(choice, end);
    }

    private isWaiting = false;

    private endWaiting({ candidate, prefillMs }: Choice): void {
        if (this.isWaiting) {
            this.isWaiting = false;
            candidate.traffic.pendingPrefillMs = Math.max(0, candidate.traffic.pendingPrefillMs - prefillMs);
        }
    }

    private onHead(load: Parameters<Choice["candidate"]["traffic"]["onLoad"]>[0] | undefined): void {
        const { choice, call } = this;
        if (!choice) {
            return;
        }
        const { traffic, server } = choice.candidate;
        this.endWaiting(choice);
        if (load) {
            traffic.onLoad(load);
        }
        if (this.relay.head?.told.isNotExecuted !== true) {
            traffic.onFirstByte(performance.now() - this.sentAt);
            if (call.caller.need) {
                this.gateway.cache.note(server.id, call.caller.need);
            }
        }
    }

    /** Ends the attempt at the deadline, and a silent one sooner where the request may go elsewhere. */
    private startTimers(choice: Choice, abort: AbortController): NodeJS.Timeout[] {
        const { call } = this;
        const timers = [setTimeout(() => abort.abort(), Math.max(0, call.deadlineAt - performance.now()))];
        if (!mayRepeat(call.route) || this.runs + 1 >= call.route.maxAttempts) {
            return timers;
        }
        const patience = Math.max(minPatienceMs, patienceFactor * Math.max(choice.predictedMs, choice.candidate.traffic.firstByteMs ?? 0));
        const startedAt = performance.now();
        timers.push(setInterval(() => {
            const { head, lastByteAt } = this.relay;
            const isSilent = head
                ? performance.now() - lastByteAt > maxPauseMs
                : performance.now() - startedAt > Math.max(patience, call.caller.need ? maxPauseMs : 0);
            if (isSilent) {
                abort.abort();
            }
        }, 100));
        return timers;
    }

    private toOutgoing(upstreamId: string): OutgoingRequest {
        const { call, gateway, relay } = this;
        const { req, route, caller } = call;
        const isResumed = relay.lastEventId !== undefined && relay.lastEventId !== caller.lastEventId;
        const passed = isResumed ? dropHeader(call.headers, "last-event-id") : call.headers;
        return {
            requestId: caller.requestId,
            method: req.method ?? "GET",
            path: req.url ?? "/",
            headers: [
                ...passed,
                ...gateway.wire.encodeAttempt({
                    upstreamId,
                    remainingMs: call.deadlineAt - performance.now() - returnMs,
                    rank: caller.need ? Math.min(9, 3 + route.priority) : undefined,
                    lastEventId: isResumed ? relay.lastEventId : undefined,
                }),
            ],
            body: call.body,
            mayRepeat: mayRepeat(route),
        };
    }

    private judge({ candidate: { server, traffic } }: Choice, end: AttemptEnd): Outcome {
        const { call, relay, gateway } = this;
        const { need } = call.caller;
        const told = relay.head?.told;
        if (end.kind === AttemptEndKind.Whole && told) {
            if (told.isNotExecuted) {
                if (told.isMisdirected && need) {
                    gateway.residency.onAbsent(server.id, need.model, artifactOf(need.model, need.adapter));
                }
                this.logFailed(server.id, `refused with ${relay.head!.status}`, Verdict.NotRun);
                traffic.onFailure(0.3);
                return Outcome.NotRun;
            }
            this.runs++;
            if (!told.isSealed) {
                return this.lose(server.id, traffic, "answer without a seal");
            }
            if (relay.head!.status >= 500) {
                traffic.onFailure(0.5);
                this.logFailed(server.id, `failed with ${relay.head!.status}`, Verdict.Ran);
                if (mayRepeat(call.route) || relay.hasBegun) {
                    return Outcome.RanAndFailed;
                }
            }
            else {
                traffic.onSuccess();
            }
            this.finish();
            return Outcome.Done;
        }
        if (end.kind === AttemptEndKind.Unsent) {
            traffic.onUnreachable();
            this.sends--;
            this.logFailed(server.id, end.reason, Verdict.NotRun);
            return Outcome.NotRun;
        }
        this.runs++;
        return this.lose(server.id, traffic, end.reason);
    }

    private lose(upstream: string, traffic: { onFailure(): void; }, reason: string): Outcome {
        traffic.onFailure();
        this.logFailed(upstream, reason, Verdict.MayHaveRun);
        return Outcome.MayHaveRun;
    }

    private logFailed(upstream: string, reason: string, verdict: Verdict): void {
        emit(EventId.AttemptFailed, {
            request: this.call.caller.requestId,
            upstream,
            kind: reason,
            verdict,
            afterMs: Math.round(performance.now() - this.sentAt),
            stream: this.call.route.kind === RouteKind.Streaming,
        });
    }
}

const dropHeader = (headers: readonly string[], name: string): string[] => {
    const kept: string[] = [];
    for (let at = 0; at < headers.length; at += 2) {
        if (headers[at]!.toLowerCase() !== name) {
            kept.push(headers[at]!, headers[at + 1]!);
        }
    }
    return kept;
};

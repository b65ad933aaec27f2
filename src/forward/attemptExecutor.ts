import type { UpstreamChoice } from "../core/chooseUpstream";
import type { UpstreamTraffic } from "../core/upstreamTraffic";
import { EventId } from "../types/eventId";
import { artifactKey } from "../types/modelRequest";
import { Verdict } from "../types/verdict";
import { emit } from "../utils/events";
import { AnswerRelay } from "./answerRelay";
import type { AttemptEnd, OutgoingRequest } from "./attempt";
import { AttemptEndKind, sendAttempt } from "./attempt";
import type { Call } from "./call";
import { mayRepeat } from "./call";
import type { Gateway } from "./gateway";

/** Upstreams are told of a deadline this much sooner than it is: their answer has to come back. */
const returnMs = 8;
/** A stream that may go on elsewhere is given up after this pause; callers leave after 2 s. */
const maxPauseMs = 1_500;
/** Patience with an upstream that has not begun to answer what may be repeated: a floor, and a factor of its usual latency. */
const minPatienceMs = 400;
const patienceFactor = 6;
/** Interval of the check for a silent upstream. */
const checkMs = 100;
/** Request-Priority of the most urgent routes; what the system does not rank has 5. */
const firstRank = 3;
const lastRank = 9;
/** What a refusal and a failed run tell of an upstream, against a lost answer. */
const refusalWeight = 0.3;
const failedRunWeight = 0.5;
const serverError = 500;

/** What became of an attempt. */
export enum AttemptOutcome {
    /** The upstream's answer is whole and may be passed on. */
    Answered = "answered",
    NotRun = "not-run",
    /** No byte left: the attempt does not count as sent. */
    Unsent = "unsent",
    MayHaveRun = "may-have-run",
    /** An upstream ran the request and failed it; its answer is kept. */
    RanAndFailed = "ran-and-failed",
}

/** Sends one request to upstreams, one attempt after the other, and keeps the account of each. */
export class AttemptExecutor {
    readonly relay: AnswerRelay;
    private choice: UpstreamChoice | undefined;
    private sentAt = 0;
    /** Whether the newest attempt still waits for its first byte. */
    private isWaiting = false;

    private constructor(private readonly gateway: Gateway, private readonly call: Call) {
        this.relay = AnswerRelay.create(call, { onHead: () => this.onHead(), onEventGap: ms => this.choice?.candidate.traffic.onEventGap(ms) });
    }

    /** Makes the runner of a request's attempts. */
    static create(gateway: Gateway, call: Call): AttemptExecutor {
        return new AttemptExecutor(gateway, call);
    }

    /** Sends the request to an upstream. `mayLeave`: whether a silent upstream is left for another one. */
    async run(choice: UpstreamChoice, send: number, mayLeave: boolean): Promise<AttemptOutcome> {
        const { call, gateway } = this;
        const { server, traffic } = choice.candidate;
        this.choice = choice;
        this.sentAt = performance.now();
        this.isWaiting = true;
        traffic.inFlight++;
        traffic.pendingPrefillMs += choice.prefillMs;
        const abort = new AbortController();
        const timers = this.startTimers(choice, abort, mayLeave);
        const onLeave = (): void => abort.abort();
        call.signal.addEventListener("abort", onLeave, { once: true });
        emit(EventId.RequestSent, {
            request: call.caller.requestId,
            upstream: server.id,
            send,
            predictedMs: Math.round(choice.predictedMs),
            load: Math.round(traffic.load),
            loadAgeMs: Math.round(traffic.reportAgeMs),
            configVersion: call.configVersion,
        });
        const connections = gateway.connectionPoolOf(server.id, server.address);
        const end = await sendAttempt(connections, this.toOutgoing(server.id), gateway.wire, this.relay, abort.signal);
        timers.forEach(clearInterval);
        call.signal.removeEventListener("abort", onLeave);
        traffic.inFlight--;
        this.endWaiting(choice);
        return this.judge(choice, end);
    }

    private endWaiting({ candidate, prefillMs }: UpstreamChoice): void {
        if (this.isWaiting) {
            this.isWaiting = false;
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
        this.endWaiting(choice);
        if (decoded.load) {
            traffic.onReportedLoad(decoded.load);
        }
        if (!decoded.isNotExecuted) {
            traffic.onFirstByte(performance.now() - this.sentAt);
            if (call.caller.modelRequest) {
                this.gateway.cache.record(server.id, call.caller.modelRequest);
            }
        }
    }

    /** Ends the attempt at the deadline, and a silent one sooner where the request may go elsewhere. */
    private startTimers(choice: UpstreamChoice, abort: AbortController, mayLeave: boolean): NodeJS.Timeout[] {
        const { call, relay } = this;
        const timers = [setTimeout(() => abort.abort(), Math.max(0, call.deadlineAt - performance.now()))];
        if (mayLeave) {
            const usual = Math.max(choice.predictedMs, choice.candidate.traffic.firstByteMs ?? 0);
            const patienceMs = Math.max(call.caller.modelRequest ? maxPauseMs : minPatienceMs, patienceFactor * usual);
            const check = (): void => {
                const isSilent = relay.head ? performance.now() - relay.lastByteAt > maxPauseMs : performance.now() - this.sentAt > patienceMs;
                if (isSilent) {
                    abort.abort();
                }
            };
            timers.push(setInterval(check, checkMs));
        }
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
                    priority: caller.modelRequest ? Math.min(lastRank, firstRank + route.priority) : undefined,
                    lastEventId: isResumed ? relay.lastEventId : undefined,
                }),
            ],
            body: call.body,
            mayRepeat: mayRepeat(route),
        };
    }

    private judge({ candidate: { server, traffic } }: UpstreamChoice, end: AttemptEnd): AttemptOutcome {
        const { relay } = this;
        const { head } = relay;
        if (end.kind === AttemptEndKind.Unsent) {
            traffic.onUnreachable();
            this.logFailed(server.id, end.reason, Verdict.NotRun);
            return AttemptOutcome.Unsent;
        }
        if (end.kind !== AttemptEndKind.Complete || !head) {
            return this.lose(server.id, traffic, end.reason);
        }
        if (head.decoded.isNotExecuted) {
            this.noteAbsence(server.id);
            traffic.onFailure(refusalWeight);
            this.logFailed(server.id, `refused with ${head.status}`, Verdict.NotRun);
            return AttemptOutcome.NotRun;
        }
        if (!head.decoded.isSigned) {
            return this.lose(server.id, traffic, "answer without a seal");
        }
        if (head.status < serverError) {
            traffic.onSuccess();
            return AttemptOutcome.Answered;
        }
        traffic.onFailure(failedRunWeight);
        this.logFailed(server.id, `failed with ${head.status}`, Verdict.Ran);
        return AttemptOutcome.RanAndFailed;
    }

    /** A runner that answers for another, or lacks the model or adapter, is not asked for it again at once. */
    private noteAbsence(upstream: string): void {
        const { modelRequest: need } = this.call.caller;
        const { residency } = this.gateway;
        if (need && this.relay.head?.decoded.isMisdirected) {
            residency.onAbsent(upstream, need.model, artifactKey(need.model, need.adapter));
        }
        else if (need) {
            residency.onRefused(upstream, need.model);
        }
    }

    private lose(upstream: string, traffic: UpstreamTraffic, reason: string): AttemptOutcome {
        traffic.onFailure();
        this.logFailed(upstream, reason, Verdict.MayHaveRun);
        return AttemptOutcome.MayHaveRun;
    }

    private logFailed(upstream: string, reason: string, verdict: Verdict): void {
        const afterMs = Math.round(performance.now() - this.sentAt);
        emit(EventId.AttemptFailed, { request: this.call.caller.requestId, upstream, kind: reason, verdict, afterMs, lastEvent: this.relay.lastEventId });
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

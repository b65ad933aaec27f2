import type { UpstreamChoice } from "../core/chooseUpstream";
import type { SilentAttempt } from "../core/failOver";
import { decideOnSilence, SilenceAction } from "../core/failOver";
import { EventId } from "../types/eventId";
import { RequestStep } from "../types/requestStep";
import { emit } from "../utils/events";
import { describeError } from "../utils/transport";
import type { AnswerRelay } from "./answerRelay";
import type { AttemptWatch } from "./attemptTimers";
import type { Call } from "./call";
import { takesStreamUp } from "./callPatience";
import type { Gateway } from "./gateway";
import { isPathLost } from "./peerPath";

/** Silence of a model request or of a begun answer after which its upstream is probed; callers disconnect after 2 s at the earliest. */
const maxSilenceMs = 1_500;
/** Minimum timeout for the first byte of a plain request. */
const minFirstByteTimeoutMs = 400;
/** The timeout for the first byte is at least this multiple of the upstream's usual latency. */
const firstByteTimeoutFactor = 6;

/** Silence after which an attempt is given up once no upstream answers over the node's links. */
const minLostSilenceMs = 100;

/** Watches one attempt for silence, and probes its runner before the attempt is given up. */
export class SilenceWatch implements AttemptWatch {
    private readonly sentAt = performance.now();
    private readonly firstByteTimeoutMs: number;
    private readonly isProbed: boolean;
    private silentSince = this.sentAt;
    private isAlive: boolean | undefined;
    private isProbing = false;
    private isCutShort = false;
    private readonly typicalMs: number;

    private constructor(
        private readonly gateway: Gateway,
        private readonly call: Call,
        private readonly choice: UpstreamChoice,
        private readonly relay: AnswerRelay,
    ) {
        const { candidate: { traffic }, predictedMs } = choice;
        const { modelRequest } = call.caller;
        this.typicalMs = Math.max(predictedMs, traffic.firstByteMs ?? 0);
        this.firstByteTimeoutMs = Math.max(modelRequest ? maxSilenceMs : minFirstByteTimeoutMs, firstByteTimeoutFactor * this.typicalMs);
        this.isProbed = modelRequest !== undefined && gateway.prober !== undefined;
        this.isAlive = this.isProbed ? undefined : false;
    }

    /** Creates the watch of an attempt that is being sent. */
    static create(gateway: Gateway, call: Call, choice: UpstreamChoice, relay: AnswerRelay): SilenceWatch {
        return new SilenceWatch(gateway, call, choice, relay);
    }

    /** Whether the attempt should be moved to another upstream; called repeatedly. */
    isExhausted(): boolean {
        const { gateway, relay, call, sentAt } = this;
        const lastProgressAt = relay.head ? relay.lastProgressAt : sentAt;
        if (lastProgressAt !== this.silentSince) {
            this.silentSince = lastProgressAt;
            this.isAlive = this.isProbed ? undefined : false;
        }
        const silentMs = performance.now() - this.silentSince;
        if (isPathLost(gateway) && silentMs >= minLostSilenceMs) {
            return call.progress.relayed !== undefined || gateway.peers.reach.check() === true;
        }
        const attempt: SilentAttempt = {
            silentMs,
            maxSilenceMs: relay.head ? maxSilenceMs : this.firstByteTimeoutMs,
            allowedMs: call.deadlineAt - sentAt,
            isAlive: this.isAlive,
            firstEventMs: this.firstEventLeftMs,
            typicalMs: this.typicalMs,
        };
        const action = decideOnSilence(attempt);
        if (action === SilenceAction.FailOver && !this.isCutShort && decideOnSilence({ ...attempt, firstEventMs: undefined }) !== SilenceAction.FailOver) {
            this.isCutShort = true;
            const { candidate: { server, traffic } } = this.choice;
            emit(EventId.SilenceCutShort, {
                request: call.caller.requestId,
                upstream: server.id,
                silentMs: Math.round(silentMs),
                allowedMs: Math.round(attempt.firstEventMs ?? 0),
                typicalMs: Math.round(this.typicalMs),
                isAlive: this.isAlive,
                loadAgeMs: Number.isFinite(traffic.reportAgeMs) ? Math.round(traffic.reportAgeMs) : undefined,
            });
        }
        if (action === SilenceAction.Probe) {
            this.probe();
        }
        return action === SilenceAction.FailOver;
    }

    /** How long the caller waits for the first event of its stream, from the begin of the silence; undefined once it has had one. */
    private get firstEventLeftMs(): number | undefined {
        const { call, relay } = this;
        const { patienceMs } = call.route;
        return patienceMs === undefined || takesStreamUp(call) || relay.firstEventAt > 0 ? undefined : call.startedAt + patienceMs - this.silentSince;
    }

    private probe(): void {
        const { prober } = this.gateway;
        if (!prober || this.isProbing) {
            return;
        }
        this.isProbing = true;
        prober.isAlive(this.choice.candidate.server).then(isAlive => this.isAlive = isAlive).catch((err: unknown) => {
            // Without a result, the runner does not count as alive.
            this.isAlive = false;
            emit(EventId.AttemptStepFailed, { request: this.call.caller.requestId, step: RequestStep.Choose, detail: describeError(err) });
        }).finally(() => this.isProbing = false);
    }
}

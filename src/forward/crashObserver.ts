import type { UpstreamCandidate } from "../core/chooseUpstream";
import type { UpstreamServer } from "../types/upstreamServer";
import type { AnswerRelay } from "./answerRelay";
import type { Call } from "./call";
import type { Gateway } from "./gateway";

/** A runner that crashes on a request does so this soon after the first event of its answer at the latest. */
const crashNoticeMs = 500;
/** Time after which a runner that has sent nothing more may have ended together with an answer that ended with its connection. */
const aliveCheckDelayMs = 300;

/** Observes the attempts of one request for whether the request, or a part of its prompt, crashes runners. */
export class CrashObserver {
    private isCleared = false;

    private constructor(private readonly gateway: Gateway, private readonly call: Call, private readonly relay: AnswerRelay) {}

    /** Creates the observer of a request without attempts. */
    static create(gateway: Gateway, call: Call, relay: AnswerRelay): CrashObserver {
        return new CrashObserver(gateway, call, relay);
    }

    /** Records that the runner is writing: once it has written for a while, it does not crash on the request. */
    onEvent(): void {
        const { attemptEventAt } = this.relay;
        if (!this.isCleared && attemptEventAt !== undefined && performance.now() - attemptEventAt > crashNoticeMs) {
            this.clear(attemptEventAt);
        }
    }

    /** Records a lost attempt: unless the runner had written for long enough, it may have crashed on the request. */
    onLost(server: UpstreamServer): void {
        const { attemptEventAt } = this.relay;
        if (attemptEventAt === undefined || performance.now() - attemptEventAt < crashNoticeMs) {
            this.gateway.crashWatch.onLost(server, this.call.suspectParts);
        }
    }

    /** Records a complete answer, also one of a failure; one that ended with its connection clears the request only if the runner lives on. */
    onAnswered({ server, traffic }: UpstreamCandidate, endsWithConnection: boolean): void {
        if (this.isCleared) {
            return;
        }
        const endedAt = performance.now();
        const beganAt = this.relay.attemptEventAt ?? endedAt;
        if (!endsWithConnection) {
            this.clear(beganAt);
            return;
        }
        setTimeout(() => {
            if (traffic.lastAnswerAt > endedAt) {
                this.clear(beganAt);
                return;
            }
            void this.clearIfAlive(server, beganAt);
        }, aliveCheckDelayMs).unref();
    }

    /** Probes the runner, but only if it matters: if a crash has been suspected to come from one of the parts. */
    private async clearIfAlive(server: UpstreamServer, beganAt: number): Promise<void> {
        const { crashLog, prober } = this.gateway;
        if (crashLog.isSuspected(this.call.suspectParts) && await prober?.isAlive(server)) {
            this.clear(beganAt);
        }
    }

    private clear(beganAt: number): void {
        this.isCleared = true;
        this.gateway.crashLog.onAnswered(this.call.suspectParts, beganAt);
    }
}

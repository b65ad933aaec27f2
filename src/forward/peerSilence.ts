import type { AnswerRelay } from "./answerRelay";
import type { AttemptWatch } from "./attemptTimers";
import type { PeerProber } from "./peerProber";

/** Silence of a peer after which it is asked whether it is alive. */
const maxSilenceMs = 1_000;

/** Watches one attempt through a peer for silence, and asks the peer before the attempt is given up: one that lives may wait for an upstream. */
export class PeerSilence implements AttemptWatch {
    private silentSince = performance.now();
    private isAlive: boolean | undefined;
    private isProbing = false;

    private constructor(private readonly prober: PeerProber, private readonly peer: string, private readonly relay: AnswerRelay) {}

    /** Creates the watch of an attempt that is being sent. */
    static create(prober: PeerProber, peer: string, relay: AnswerRelay): PeerSilence {
        return new PeerSilence(prober, peer, relay);
    }

    isExhausted(): boolean {
        const { relay } = this;
        if (relay.head && relay.lastProgressAt > this.silentSince) {
            this.silentSince = relay.lastProgressAt;
        }
        if (performance.now() - this.silentSince <= maxSilenceMs) {
            return false;
        }
        if (this.isAlive === false) {
            return true;
        }
        if (!this.isProbing) {
            this.isProbing = true;
            void this.prober.isAlive(this.peer).then(isAlive => this.onProbed(isAlive));
        }
        return false;
    }

    private onProbed(isAlive: boolean): void {
        this.isProbing = false;
        this.isAlive = isAlive;
        if (isAlive) {
            this.silentSince = performance.now();
        }
    }
}

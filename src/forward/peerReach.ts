import type { PeerChoice } from "../core/peerChoice";
import type { PeerProber } from "./peerProber";

/** Peers that are asked at once, and the interval at which others are. */
const maxAsked = 3;
const askIntervalMs = 200;
/** Time for which the answer of a peer that reaches upstreams counts. */
const answerLifetimeMs = 1_000;
/** Age from which on it is asked for again, so that it is renewed before its end. */
const renewAfterMs = 400;
/** Time for which a peer that reaches none is not asked for anything. */
const avoidedMs = 500;

/** Whether peers reach the upstreams while this node does not: if none does, the upstreams themselves may be silent, and requests stay where they are. */
export class PeerReach {
    private reachedAt = Number.NEGATIVE_INFINITY;
    private askedAt = Number.NEGATIVE_INFINITY;
    private pending = 0;

    private constructor(private readonly choice: PeerChoice, private readonly prober: PeerProber) {}

    /** Creates the knowledge of a node that has not asked any peer. */
    static create(choice: PeerChoice, prober: PeerProber): PeerReach {
        return new PeerReach(choice, prober);
    }

    /** Whether a peer reached upstreams a moment ago; asks some if that is not known, and returns undefined until one has answered. */
    check(): boolean | undefined {
        const now = performance.now();
        if (now - this.reachedAt >= renewAfterMs && now - this.askedAt >= askIntervalMs) {
            this.askedAt = now;
            this.ask();
        }
        if (now - this.reachedAt < answerLifetimeMs) {
            return true;
        }
        return this.pending > 0 ? undefined : false;
    }

    /** A peer took a request. */
    onTaken(): void {
        this.reachedAt = performance.now();
    }

    private ask(): void {
        const asked = new Set<string>();
        while (asked.size < maxAsked) {
            const peer = this.choice.choose(asked);
            if (peer === undefined) {
                return;
            }
            asked.add(peer);
            this.pending++;
            void this.prober.reachesUpstreams(peer).then(isReaching => {
                this.pending--;
                if (isReaching) {
                    this.onTaken();
                }
                else {
                    this.choice.onUntaken(peer, avoidedMs);
                }
            });
        }
    }
}

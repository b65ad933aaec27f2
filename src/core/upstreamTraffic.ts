import type { ReportedLoad } from "../types/requestHeaderCodec";

/** Half-life of the count of recent failures. */
const failureHalfLifeMs = 3_000;
/** Weight of a new sample in the exponential moving averages. */
const smoothingFactor = 0.2;
/** The average gap between events is discarded after this time without a new sample. */
const eventGapLifetimeMs = 1_000;
/** A reported load is ignored after this time. */
const reportLifetimeMs = 1_500;
/** Half-life of a reported pace's distance from the usual one: a pace changes many times a second. */
const paceHalfLifeMs = 300;
/** Time for which an upstream counts as unreachable after a failed connection; it doubles with each further failure. */
const initialUnreachableMs = 1_000;
const maxUnreachableMs = 8_000;

/** Traffic, load and health of one upstream, from this node's own requests, the upstream's reports and other nodes. */
export class UpstreamTraffic {
    /** Own requests in progress. */
    inFlight = 0;
    /** Tokens of own generations in progress: prompts and expected outputs. */
    tokensInFlight = 0;
    /** Estimated prefill of own requests that have not received a first token. */
    pendingPrefillMs = 0;
    /** Moving average of the time to the first byte of an answer at the usual pace; undefined before the first answer. */
    firstByteMs: number | undefined;
    /** When the head of an answer, or an event of a stream, last arrived. */
    lastAnswerAt = Number.NEGATIVE_INFINITY;
    private averageEventGapMs: number | undefined;
    private eventGapAt = Number.NEGATIVE_INFINITY;
    private reported: ReportedLoad | undefined;
    private reportedAt = Number.NEGATIVE_INFINITY;
    private inFlightWhenReported = 0;
    private peerPrefillMs = 0;
    private peerInFlight = 0;
    private peerLoadAt = Number.NEGATIVE_INFINITY;
    private failures = 0;
    private failuresAt = 0;
    private unreachableUntil = 0;
    private unreachableCount = 0;
    /** When a connection to it last failed. */
    unreachableAt = Number.NEGATIVE_INFINITY;

    private constructor(private readonly now: () => number) {}

    /** Creates the state of an upstream that has not been used yet. */
    static create(now: () => number = () => performance.now()): UpstreamTraffic {
        return new UpstreamTraffic(now);
    }

    /** Whether a connection to it failed recently. */
    get isUnreachable(): boolean {
        return this.now() < this.unreachableUntil;
    }

    /** Count of recent failures, decaying exponentially with their age. */
    get recentFailures(): number {
        return this.failures * 2 ** (-(this.now() - this.failuresAt) / failureHalfLifeMs);
    }

    /** Prefill backlog at the upstream: this node's, plus what other nodes last reported, less the time since that report. */
    get waitingPrefillMs(): number {
        return this.pendingPrefillMs + Math.max(0, this.peerPrefillMs - (this.now() - this.peerLoadAt));
    }

    /** Counts an own request that is sent; `tokens` is 0 but for generations. */
    begin(tokens: number): void {
        this.inFlight++;
        this.tokensInFlight += tokens;
    }

    /** Ends the count of an own request. */
    end(tokens: number): void {
        this.inFlight--;
        this.tokensInFlight -= tokens;
    }

    /** Records the prefill and requests in flight of other nodes at the upstream. */
    onPeerLoad(prefillMs: number, inFlight: number): void {
        this.peerPrefillMs = prefillMs;
        this.peerInFlight = inFlight;
        this.peerLoadAt = this.now();
    }

    /**
     * Estimated requests at the upstream: this node's requests in flight, plus those of other nodes. The latter come from the newer of the upstream's
     * own report, weighted down with its age, and the last report of other nodes.
     */
    get load(): number {
        if (!this.reported || this.peerLoadAt > this.reportedAt) {
            return this.inFlight + (this.now() - this.peerLoadAt < reportLifetimeMs ? this.peerInFlight : 0);
        }
        const freshness = Math.max(0, 1 - (this.now() - this.reportedAt) / reportLifetimeMs);
        const others = Math.max(0, this.reported.running + this.reported.waiting - this.inFlightWhenReported);
        return this.inFlight + others * freshness;
    }

    /** Requests queued at the upstream according to its last report. */
    get waiting(): number {
        return this.reported && this.now() - this.reportedAt < reportLifetimeMs ? this.reported.waiting : 0;
    }

    /**
     * Time that work takes at the upstream now, relative to its usual time: the last reported pace, which decays to the usual one (1) with its age; 1 if it reports
     * none.
     */
    get pace(): number {
        const reported = this.reported?.pace;
        if (reported === undefined) {
            return 1;
        }
        const ageMs = this.now() - this.reportedAt;
        return ageMs >= reportLifetimeMs ? 1 : 1 + (reported - 1) * 2 ** (-ageMs / paceHalfLifeMs);
    }

    /** Whether the upstream's last reported load had a pace. */
    get reportsPace(): boolean {
        return this.reported?.pace !== undefined;
    }

    /** Age of the last reported load. */
    get reportAgeMs(): number {
        return this.now() - this.reportedAt;
    }

    /** Age of the newest figures about its load, by its own report or by other nodes. */
    get figuresAgeMs(): number {
        return this.now() - Math.max(this.reportedAt, this.peerLoadAt);
    }

    onReportedLoad(reported: ReportedLoad): void {
        this.reported = reported;
        this.reportedAt = this.now();
        this.inFlightWhenReported = this.inFlight;
    }

    /** Records the time to the first byte of an answer, which took place at a pace: what is averaged is the usual time. */
    onFirstByte(ms: number, pace = 1): void {
        this.lastAnswerAt = this.now();
        this.unreachableCount = 0;
        const usualMs = ms / pace;
        const average = this.firstByteMs ?? usualMs;
        this.firstByteMs = average + smoothingFactor * (usualMs - average);
    }

    /** Moving average of the gaps between events of this node's streams; undefined without a recent sample. */
    get eventGapMs(): number | undefined {
        return this.now() - this.eventGapAt < eventGapLifetimeMs ? this.averageEventGapMs : undefined;
    }

    /** Records the gap between two events of a stream. */
    onEventGap(ms: number): void {
        this.lastAnswerAt = this.now();
        const average = this.eventGapMs ?? ms;
        this.averageEventGapMs = average + smoothingFactor * (ms - average);
        this.eventGapAt = this.now();
    }

    onFailure(weight = 1): void {
        this.failures = this.recentFailures + weight;
        this.failuresAt = this.now();
    }

    /** A success halves the count of recent failures. */
    onSuccess(): void {
        this.failures = this.recentFailures / 2;
        this.failuresAt = this.now();
    }

    /** Takes back what failures said: the node's path to all upstreams was the reason. */
    forgetFailures(): void {
        this.failures = 0;
        this.unreachableUntil = 0;
        this.unreachableCount = 0;
    }

    onUnreachable(): void {
        this.unreachableAt = this.now();
        // Several requests may fail while the upstream already counts as unreachable; the time doubles only once for them.
        if (!this.isUnreachable) {
            this.unreachableCount++;
            this.unreachableUntil = this.now() + Math.min(maxUnreachableMs, initialUnreachableMs * 2 ** (this.unreachableCount - 1));
        }
        this.onFailure();
    }
}

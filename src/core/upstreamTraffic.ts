import type { ReportedLoad } from "../types/requestHeaderCodec";

/** Time in which the memory of a failure fades to a half. */
const failureHalfLifeMs = 3_000;
/** Weight of a new sample in the moving average of latencies. */
const smoothing = 0.2;
/** After this time without an event the pace of an upstream's streams is not known. */
const eventGapLifetimeMs = 1_000;
/** After this time a reported load is ignored. */
const reportLifetimeMs = 1_500;
/** Pause after a connection could not be made; it doubles with each further failure. */
const unreachablePauseMs = 1_000;
const maxUnreachablePauseMs = 8_000;

/** What a node knows of an upstream from its own requests. */
export class UpstreamTraffic {
    /** Own requests in progress. */
    inFlight = 0;
    /** Prefill that own requests without a first token still wait for. */
    pendingPrefillMs = 0;
    /** Moving average of the time to the first byte of an answer, undefined before the first. */
    firstByteMs: number | undefined;
    private eventGap: number | undefined;
    private eventGapAt = Number.NEGATIVE_INFINITY;
    private reported: ReportedLoad | undefined;
    private reportedAt = Number.NEGATIVE_INFINITY;
    private inFlightWhenReported = 0;
    private othersPrefillMs = 0;
    private othersInFlight = 0;
    private othersAt = Number.NEGATIVE_INFINITY;
    private failures = 0;
    private failuresAt = 0;
    private unreachableUntil = 0;
    private unreachableTimes = 0;

    private constructor(private readonly now: () => number) {}

    /** Makes the record of an upstream that has not been used yet. */
    static create(now: () => number = () => performance.now()): UpstreamTraffic {
        return new UpstreamTraffic(now);
    }

    /** Whether connections to it failed a moment ago. */
    get isUnreachable(): boolean {
        return this.now() < this.unreachableUntil;
    }

    /** Recent failures, older ones counting less. */
    get recentFailures(): number {
        return this.failures * 2 ** (-(this.now() - this.failuresAt) / failureHalfLifeMs);
    }

    /** Prefill that waits at the upstream: this node's, and what other nodes last reported, less the time since. */
    get waitingPrefillMs(): number {
        return this.pendingPrefillMs + Math.max(0, this.othersPrefillMs - (this.now() - this.othersAt));
    }

    /** Takes what other nodes put on the upstream. */
    onPeerLoad(prefillMs: number, inFlight: number): void {
        this.othersPrefillMs = prefillMs;
        this.othersInFlight = inFlight;
        this.othersAt = this.now();
    }

    /** Requests at the upstream: its last report, aged, with what was sent since, or the own count if that is more. */
    get load(): number {
        if (!this.reported || this.othersAt > this.reportedAt) {
            return this.inFlight + (this.now() - this.othersAt < reportLifetimeMs ? this.othersInFlight : 0);
        }
        const freshness = Math.max(0, 1 - (this.now() - this.reportedAt) / reportLifetimeMs);
        const others = Math.max(0, this.reported.running + this.reported.waiting - this.inFlightWhenReported);
        return this.inFlight + others * freshness;
    }

    /** Requests that waited at the upstream in its last report. */
    get waiting(): number {
        return this.reported && this.now() - this.reportedAt < reportLifetimeMs ? this.reported.waiting : 0;
    }

    /** Age of the last reported load. */
    get reportAgeMs(): number {
        return this.now() - this.reportedAt;
    }

    onReportedLoad(reported: ReportedLoad): void {
        this.reported = reported;
        this.reportedAt = this.now();
        this.inFlightWhenReported = this.inFlight;
    }

    onFirstByte(ms: number): void {
        this.unreachableTimes = 0;
        const average = this.firstByteMs ?? ms;
        this.firstByteMs = average + smoothing * (ms - average);
    }

    /** Moving average of the pauses between events of this node's streams, undefined where none came lately. */
    get eventGapMs(): number | undefined {
        return this.now() - this.eventGapAt < eventGapLifetimeMs ? this.eventGap : undefined;
    }

    /** Counts the pause between two events of a stream. */
    onEventGap(ms: number): void {
        const average = this.eventGapMs ?? ms;
        this.eventGap = average + smoothing * (ms - average);
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

    onUnreachable(): void {
        // Several requests may fail in the same pause: they count once.
        if (!this.isUnreachable) {
            this.unreachableTimes++;
            this.unreachableUntil = this.now() + Math.min(maxUnreachablePauseMs, unreachablePauseMs * 2 ** (this.unreachableTimes - 1));
        }
        this.onFailure();
    }
}

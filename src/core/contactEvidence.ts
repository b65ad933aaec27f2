import { ContactFailure } from "../types/contactFailure";
import type { AttentiveClock } from "./attentiveClock";

/** Failures older than this say nothing of the path now. */
const failureLifetimeMs = 2_000;
/** Time without anything from any upstream after which one of them is probed: with requests in progress, and without. */
const maxSilenceMs = 500;
const maxQuietMs = 650;
/** Time for which a failed connection may be explained by a new one that works elsewhere, before an upstream is probed, too. */
const maxUnexplainedMs = 200;
/** Time since the last answer within which upstreams are heard. */
const maxHeardMs = 200;
/** Failures that a log line names. */
const maxLoggedFailures = 6;

/** The last failed connection to an upstream's process. */
interface FailedConnection {
    readonly kind: ContactFailure;
    /** On the monotonic clock, and on the attentive one. */
    readonly at: number;
    readonly countedAt: number;
}

/** What this node's connections say of its path to the upstreams. */
export class ContactEvidence {
    private readonly failures = new Map<string, FailedConnection>();
    private lastWordAt: number;
    private busySince = 0;
    private inProgress = 0;
    private newPathProvenAt = Number.NEGATIVE_INFINITY;
    private openedAt = Number.NEGATIVE_INFINITY;
    /** The process that sent something last: it is the most likely to answer. */
    lastSpeaker: string | undefined;

    private constructor(private readonly clock: AttentiveClock) {
        this.lastWordAt = clock.nowMs;
    }

    /** Creates the evidence of a node that has not used an upstream yet. */
    static create(clock: AttentiveClock): ContactEvidence {
        return new ContactEvidence(clock);
    }

    countInProgress(change: number): void {
        if (this.inProgress === 0) {
            this.busySince = this.clock.nowMs;
        }
        this.inProgress += change;
    }

    /** Records that something arrived over a connection that was opened at a time on the monotonic clock. */
    onWord(process: string | undefined, connectionOpenedAt: number): void {
        this.lastWordAt = this.clock.nowMs;
        this.lastSpeaker = process ?? this.lastSpeaker;
        if (connectionOpenedAt > this.newPathProvenAt) {
            this.newPathProvenAt = connectionOpenedAt;
            this.removeFailures(({ at }) => at <= connectionOpenedAt);
        }
    }

    /** Records that a connection was opened, which says nothing of whether anything arrives over it. */
    onOpened(): void {
        this.openedAt = performance.now();
        this.removeFailures(({ kind }) => kind === ContactFailure.Connect);
    }

    /** Records a failed connection. One that this node could not open says nothing while answers arrive over others. */
    onFailure(process: string, kind: ContactFailure): void {
        if (kind === ContactFailure.Own && this.lastSpeaker !== undefined && this.quietMs < maxHeardMs) {
            return;
        }
        this.failures.set(process, { kind, at: performance.now(), countedAt: this.clock.nowMs });
    }

    forgetFailures(): void {
        this.failures.clear();
    }

    /** Processes with a failed connection, since a new connection last proved that the path is there. */
    get failedProcesses(): ReadonlySet<string> {
        this.removeFailures(({ countedAt }) => this.clock.nowMs - countedAt > failureLifetimeMs);
        return new Set(this.failures.keys());
    }

    /** Whether a connection failed after a time on the monotonic clock, except those to a process. */
    hasFailedSince(time: number, except?: string): boolean {
        return [...this.failures].some(([process, { at }]) => at > time && process !== except);
    }

    /** Whether nothing has arrived from any upstream for a while, or a connection failed, if failures count now, and none worked since. */
    isProbeDue(doFailuresCount: boolean): boolean {
        return this.silentMs >= maxSilenceMs || this.quietMs >= maxQuietMs || (doFailuresCount && this.unexplainedMs >= maxUnexplainedMs);
    }

    /** Age of the oldest failed connection since a new one last worked; 0 if there is none. */
    private get unexplainedMs(): number {
        return this.failures.size === 0 ? 0 : this.clock.nowMs - Math.min(...[...this.failures.values()].map(({ countedAt }) => countedAt));
    }

    /** Time since anything arrived from an upstream. */
    get quietMs(): number {
        return this.clock.nowMs - this.lastWordAt;
    }

    /** Time for which requests have been in progress without anything from any upstream. */
    get silentMs(): number {
        return this.inProgress === 0 ? 0 : this.clock.nowMs - Math.max(this.lastWordAt, this.busySince);
    }

    /** Whether a connection was opened, or one that was opened since was answered, after a time on the monotonic clock. */
    hasReachedSince(at: number): boolean {
        return Math.max(this.openedAt, this.newPathProvenAt) > at;
    }

    /** Whether a connection that was opened after a time on the monotonic clock was answered. */
    hasAnsweredSince(time: number): boolean {
        return this.newPathProvenAt > time;
    }

    /** What a log line says of it. */
    get summary(): Readonly<Record<string, unknown>> {
        const newPathAgeMs = performance.now() - this.newPathProvenAt;
        return {
            quietMs: Math.round(this.quietMs),
            inProgress: this.inProgress,
            newPathAgeMs: Number.isFinite(newPathAgeMs) ? Math.round(newPathAgeMs) : undefined,
            failures: [...this.failures].slice(0, maxLoggedFailures).map(([process, { kind }]) => `${process} ${kind}`),
        };
    }

    private removeFailures(matches: (failure: FailedConnection) => boolean): void {
        this.failures.forEach((failure, process) => matches(failure) && this.failures.delete(process));
    }
}

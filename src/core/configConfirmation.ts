import type { ClockReading } from "../utils/clockReading";
import { maxElapsedMs, readClocks } from "../utils/clockReading";

/** Share of the time allowed for a revocation within which a confirmation counts; the rest is for the send itself. */
const usableShare = 0.9;
/** Shares of that time, and of the time allowed for a change, after which a node reads the store itself: a failed read can be repeated in the rest. */
const refreshShareOfRevoke = 0.5;
const refreshShareOfApply = 0.75;
/** A report of a peer that arrives this long after a restore of the store was sent after it. */
const reportTransitMs = 1_000;

/** Dependencies of a confirmation. */
export interface ConfigConfirmationOptions {
    /** Version of the configuration in force; undefined without one. */
    readonly versionInForce: () => number | undefined;
    /** Time allowed for a revocation; undefined if keys need not be confirmed. */
    readonly revokeMs: () => number | undefined;
    /** Time allowed for a change; undefined if no keys are needed. */
    readonly applyMs: () => number | undefined;
    /** Whether other nodes are known. */
    readonly hasPeers: () => boolean;
}

/**
 * How long ago the configuration in force was known to be the newest: from a read of the store or from a peer, counted from when it was asked. A wall clock that is set
 * forward makes the configuration older than it is, which costs requests, and never younger.
 */
export class ConfigConfirmation {
    /** When the configuration was confirmed; in the past of the reading by the age that a peer stated. */
    private confirmedAt: ClockReading | undefined;
    /** Whether the newest version that was read from the store could be applied; undefined before one was read. */
    private isStoredVersionUsable: boolean | undefined;
    /** Highest version that a peer has in force. */
    private versionAtPeers = 0;
    /** Era of the store at the last read, and when a later one was first seen: what the store lost may be known to peers. */
    private era: number | undefined;
    private restoredAt: ClockReading | undefined;
    private hasLastReadConfirmed = false;

    private constructor(private readonly options: ConfigConfirmationOptions) {}

    /** Creates the confirmation of a process that has read nothing yet. */
    static create(options: ConfigConfirmationOptions): ConfigConfirmation {
        return new ConfigConfirmation(options);
    }

    /** Time since the configuration in force was known to be the newest; infinite before that. */
    get ageMs(): number {
        return this.confirmedAt === undefined ? Number.POSITIVE_INFINITY : Math.max(0, maxElapsedMs(this.confirmedAt));
    }

    /** The age for log lines; undefined before the first confirmation. */
    get roundedAgeMs(): number | undefined {
        return this.confirmedAt && Math.round(this.ageMs);
    }

    /** Whether requests with a key may be sent. */
    get isRecent(): boolean {
        const revokeMs = this.options.revokeMs();
        return revokeMs === undefined || this.ageMs < usableShare * revokeMs;
    }

    /** Whether this node should read the store, as peers have not confirmed the configuration lately. */
    get needsRead(): boolean {
        const { refreshAgeMs } = this;
        return Number.isFinite(refreshAgeMs) && this.ageMs >= refreshAgeMs;
    }

    /**
     * Time for which a read of the store may wait for changes: what it proves is as old as the call. After a read that confirmed nothing, a call without a wait would
     * only repeat it.
     */
    readWaitMs(maxMs: number): number {
        const { refreshAgeMs } = this;
        return this.hasLastReadConfirmed && Number.isFinite(refreshAgeMs) ? Math.min(maxMs, Math.max(0, refreshAgeMs - this.ageMs)) : maxMs;
    }

    /** Age at which this node reads the store itself; infinite if no keys are needed. */
    private get refreshAgeMs(): number {
        const { applyMs, revokeMs } = this.options;
        const byApplyMs = applyMs();
        return byApplyMs === undefined
            ? Number.POSITIVE_INFINITY
            : Math.min(refreshShareOfApply * byApplyMs, refreshShareOfRevoke * (revokeMs() ?? Number.POSITIVE_INFINITY));
    }

    /** Records whether a version that was read from the store could be applied, or was in force already. */
    onStoredVersion(isUsable: boolean): void {
        this.isStoredVersionUsable = isUsable;
    }

    /** Records an answer of the store to a call sent at `askedAt`, after its rows have been applied. */
    onStoreRead(askedAt: ClockReading, era: number): void {
        if (this.era !== undefined && era > this.era) {
            this.restoredAt = readClocks();
        }
        this.era = era;
        this.hasLastReadConfirmed = this.isStoredVersionUsable === true && this.isNewestKnown && (this.restoredAt === undefined || !this.options.hasPeers());
        if (this.hasLastReadConfirmed) {
            this.confirm(askedAt);
        }
    }

    /** Records the version that a reporting peer has in force. */
    onPeerReport(version: number): void {
        this.versionAtPeers = Math.max(this.versionAtPeers, version);
        if (this.restoredAt !== undefined && maxElapsedMs(this.restoredAt) >= reportTransitMs && this.isNewestKnown) {
            this.restoredAt = undefined;
        }
    }

    /** Records a peer's answer to a report sent at `askedAt`, after its configuration has been applied; the age is missing from nodes of earlier releases. */
    onPeerAnswer(askedAt: ClockReading, version: number, ageMs: number | undefined): void {
        this.versionAtPeers = Math.max(this.versionAtPeers, version);
        if (!this.isNewestKnown) {
            return;
        }
        if (this.restoredAt !== undefined && askedAt.monotonicMs >= this.restoredAt.monotonicMs) {
            this.restoredAt = undefined;
        }
        if (ageMs !== undefined) {
            this.confirm({ monotonicMs: askedAt.monotonicMs - ageMs, wallMs: askedAt.wallMs - ageMs });
        }
    }

    private get isNewestKnown(): boolean {
        const version = this.options.versionInForce();
        return version !== undefined && version >= this.versionAtPeers;
    }

    private confirm(at: ClockReading): void {
        if (this.confirmedAt === undefined || maxElapsedMs(at) <= this.ageMs) {
            this.confirmedAt = at;
        }
    }
}

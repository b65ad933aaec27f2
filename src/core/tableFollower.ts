import { EventId } from "../types/eventId";
import type { StoredRow } from "../types/rowStore";
import { FeedKind } from "../types/rowStore";
import type { StoreVersion } from "../types/storeVersion";
import { eraOf } from "../types/storeVersion";
import type { ClockReading } from "../utils/clockReading";
import { readClocks } from "../utils/clockReading";
import { emit } from "../utils/events";
import type { Random } from "../utils/random";
import { sleep } from "../utils/time";
import type { ConfigConfirmation } from "./configConfirmation";
import type { MonitoredStore } from "./monitoredStore";
import type { StoreFreshness } from "./storeFreshness";

/** Long-poll wait of one call to the change feed; a dead connection is noticed soon after it. */
export const feedWaitMs = 2_200;
/** Base of the jittered delay after the first failed call; jitter keeps the nodes from reconnecting all at once. */
const minRetryDelayMs = 150;

/** Receives the contents of a followed table. */
export interface TableObserver {
    /** A snapshot of the whole table. Rows that are missing may reappear within `graceMs`, since the store was unavailable. */
    onSnapshot(rows: readonly StoredRow[], version: StoreVersion, graceMs: number): void;
    /** Changed rows; a row without a value was deleted. */
    onChanges(rows: readonly StoredRow[], version: StoreVersion, graceMs: number): void;
}

/** Interval between two checks whether the controller's reads still keep this table fresh. */
const freshnessPollMs = 150;

/** Options of a table follower. */
export interface FollowerOptions {
    /** Pause after changes, so that several arrive in one call; the store charges for each call. */
    readonly pauseMs: () => number;
    /** Long-poll wait of one call to the change feed. */
    readonly waitMs: () => number;
    /** Upper bound of the delay after failed calls, which doubles from call to call. */
    readonly maxRetryDelayMs: () => number;
    /** Version up to which this node has received the table from another source. */
    readonly knownVersion: () => StoreVersion;
    /** Decides when the store need not be read; it is notified of the store's answers. */
    readonly freshness?: StoreFreshness;
    /** Requires reads for the sake of API keys, beside those for changes; of the configuration's table only. */
    readonly confirmation?: ConfigConfirmation;
}

const defaultOptions: FollowerOptions = { pauseMs: () => 0, waitMs: () => feedWaitMs, maxRetryDelayMs: () => minRetryDelayMs, knownVersion: () => 0 };

/** Follows one table of the store through its change feed. */
export class TableFollower {
    private version: StoreVersion | undefined;
    private unavailableSince: number | undefined;
    /** Calls that have failed since the last success. */
    private failedCalls = 0;

    private constructor(
        private readonly store: MonitoredStore,
        private readonly table: string,
        private readonly observer: TableObserver,
        private readonly random: Random,
        private readonly options: FollowerOptions,
    ) {}

    /** Creates a follower that has not read anything yet. */
    static create(store: MonitoredStore, table: string, observer: TableObserver, random: Random, options: FollowerOptions = defaultOptions): TableFollower {
        options.freshness?.follow(table);
        return new TableFollower(store, table, observer, random, options);
    }

    /** Whether the last call was answered. */
    get isConnected(): boolean {
        return this.unavailableSince === undefined;
    }

    /** Follows the table until the signal aborts. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            try {
                await this.poll(signal);
            }
            catch (err) {
                if (signal.aborted) {
                    return;
                }
                this.onFailure(err);
                const delayMs = Math.min(minRetryDelayMs * 2 ** this.failedCalls++, Math.max(minRetryDelayMs, this.options.maxRetryDelayMs()));
                await sleep(delayMs * (0.5 + this.random()), signal);
            }
        }
    }

    private async poll(signal: AbortSignal): Promise<void> {
        if (this.version === undefined) {
            const askedAt = readClocks();
            const { rows, version } = await this.store.readTable(this.table);
            this.onSuccess();
            this.version = version;
            this.observer.onSnapshot(rows, version, this.graceMs);
            this.onRead(askedAt, version);
            return;
        }
        while (this.options.freshness?.isFresh && this.options.confirmation?.needsRead !== true && !signal.aborted) {
            await sleep(freshnessPollMs, signal);
        }
        const knownVersion = this.options.knownVersion();
        if (eraOf(knownVersion) > eraOf(this.version)) {
            this.version = undefined;
            return;
        }
        this.version = Math.max(this.version, knownVersion);
        const askedAt = readClocks();
        const maxWaitMs = this.options.waitMs();
        const waitMs = Math.round(this.options.confirmation?.readWaitMs(maxWaitMs) ?? maxWaitMs);
        const result = await this.store.feed(this.table, this.version, waitMs, signal);
        this.onSuccess();
        if (result.kind === FeedKind.HistoryGone) {
            this.version = undefined;
            return;
        }
        this.version = Math.max(this.version, result.version);
        this.observer.onChanges(result.rows, result.version, this.graceMs);
        this.onRead(askedAt, result.version);
        if (result.rows.length > 0) {
            await sleep(this.options.pauseMs(), signal);
        }
    }

    private onRead(askedAt: ClockReading, version: StoreVersion): void {
        this.options.freshness?.onConfirmed(this.table);
        this.options.confirmation?.onStoreRead(askedAt, eraOf(version));
    }

    private get graceMs(): number {
        return this.store.availability.graceMs;
    }

    private onSuccess(): void {
        this.failedCalls = 0;
        if (this.unavailableSince !== undefined) {
            emit(EventId.StoreRegained, {
                table: this.table,
                afterMs: Math.round(performance.now() - this.unavailableSince),
                graceMs: Math.round(this.graceMs),
            });
            this.unavailableSince = undefined;
        }
    }

    private onFailure(err: unknown): void {
        if (this.unavailableSince === undefined) {
            this.unavailableSince = performance.now();
            emit(EventId.StoreLost, { table: this.table, version: this.version, detail: err instanceof Error ? err.message : String(err) });
        }
    }
}

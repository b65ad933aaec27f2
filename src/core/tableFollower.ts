import { EventId } from "../types/eventId";
import type { RowStore, StoredRow } from "../types/rowStore";
import { FeedKind } from "../types/rowStore";
import { emit } from "../utils/events";
import type { Random } from "../utils/random";
import { sleep } from "../utils/time";
import type { StoreFreshness } from "./storeFreshness";

/** Wait of one call to the feed: a connection that has gone silent is noticed soon after it. */
export const feedWaitMs = 2_200;
/** Pause after a failed call, and its jitter: nodes should not return all at once. */
const retryPauseMs = 150;
/** Rows that lapsed while the store was away may be back for this long after its return. */
const returnGraceMs = 2_000;

/** What a follower tells of its table. */
export interface TableObserver {
    /** The whole table. `graceMs`: for this long rows that are missing may come back, since the store was away. */
    onSnapshot(rows: readonly StoredRow[], version: number, graceMs: number): void;
    /** Rows that changed; one without a value was dropped. */
    onChanges(rows: readonly StoredRow[], version: number, graceMs: number): void;
}

/** Pause between two looks whether another node's reading still covers this table. */
const freshCheckMs = 50;

/** How a follower reads. */
export interface FollowerOptions {
    /** Pause after changes, so that several come in one call; calls are priced. */
    readonly pauseMs: number;
    /** Wait of one call to the feed. */
    readonly waitMs: () => number;
    /** Version up to which the table is known from elsewhere. */
    readonly knownVersion: () => number;
    /** Says when the store need not be read, and hears of its answers. */
    readonly freshness?: StoreFreshness;
}

const defaultRules: FollowerOptions = { pauseMs: 0, waitMs: () => feedWaitMs, knownVersion: () => 0 };

/** Keeps in step with one table of the store through its feed. */
export class TableFollower {
    private version: number | undefined;
    private lostAt: number | undefined;
    private regainedAt = Number.NEGATIVE_INFINITY;

    private constructor(
        private readonly store: RowStore,
        private readonly table: string,
        private readonly observer: TableObserver,
        private readonly random: Random,
        private readonly rules: FollowerOptions,
    ) {}

    /** Makes a follower that has not read yet. */
    static create(store: RowStore, table: string, observer: TableObserver, random: Random, rules: FollowerOptions = defaultRules): TableFollower {
        rules.freshness?.follow(table);
        return new TableFollower(store, table, observer, random, rules);
    }

    /** Whether the last call was answered. */
    get isConnected(): boolean {
        return this.lostAt === undefined;
    }

    /** Follows until the signal aborts. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            try {
                await this.step(signal);
            }
            catch (err) {
                if (signal.aborted) {
                    return;
                }
                this.onLost(err);
                await sleep(retryPauseMs * (0.5 + this.random()), signal);
            }
        }
    }

    private async step(signal: AbortSignal): Promise<void> {
        if (this.version === undefined) {
            const { rows, version } = await this.store.readTable(this.table);
            this.onAnswer();
            this.version = version;
            this.observer.onSnapshot(rows, version, this.graceMs);
            return;
        }
        while (this.rules.freshness?.isFresh && !signal.aborted) {
            await sleep(freshCheckMs, signal);
        }
        this.version = Math.max(this.version, this.rules.knownVersion());
        const reading = await this.store.feed(this.table, this.version, this.rules.waitMs(), signal);
        this.onAnswer();
        if (reading.kind === FeedKind.HistoryGone) {
            this.version = undefined;
            return;
        }
        this.version = Math.max(this.version, reading.version);
        this.observer.onChanges(reading.rows, reading.version, this.graceMs);
        if (reading.rows.length > 0) {
            await sleep(this.rules.pauseMs, signal);
        }
    }

    private get graceMs(): number {
        return Math.max(0, this.regainedAt + returnGraceMs - performance.now());
    }

    private onAnswer(): void {
        this.rules.freshness?.onConfirmed(this.table);
        if (this.lostAt !== undefined) {
            emit(EventId.StoreRegained, { table: this.table, afterMs: Math.round(performance.now() - this.lostAt) });
            this.lostAt = undefined;
            this.regainedAt = performance.now();
        }
    }

    private onLost(err: unknown): void {
        if (this.lostAt === undefined) {
            this.lostAt = performance.now();
            emit(EventId.StoreLost, { table: this.table, version: this.version, detail: err instanceof Error ? err.message : String(err) });
        }
    }
}

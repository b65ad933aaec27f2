import type { FeedResult, RowName, RowResult, RowStore, RowTransaction, TransactionResult, VersionedRows } from "../types/rowStore";
import type { StoreVersion } from "../types/storeVersion";
import { StoreAvailability } from "./storeAvailability";

/** A store whose availability is derived from the results of all calls. */
export class MonitoredStore implements RowStore {
    readonly availability = StoreAvailability.create();

    private constructor(private readonly store: RowStore) {}

    /** Creates a monitored store in front of another one. */
    static create(store: RowStore): MonitoredStore {
        return new MonitoredStore(store);
    }

    readTable(table: string): Promise<VersionedRows> {
        return this.observe(() => this.store.readTable(table));
    }

    readRow(name: RowName): Promise<RowResult> {
        return this.observe(() => this.store.readRow(name));
    }

    feed(table: string, after: StoreVersion, waitMs: number, signal: AbortSignal): Promise<FeedResult> {
        return this.observe(() => this.store.feed(table, after, waitMs, signal), signal);
    }

    transact(transaction: RowTransaction): Promise<TransactionResult> {
        return this.observe(() => this.store.transact(transaction));
    }

    private async observe<T>(call: () => Promise<T>, signal?: AbortSignal): Promise<T> {
        try {
            const result = await call();
            this.availability.onAnswer();
            return result;
        }
        catch (err) {
            if (!signal?.aborted) {
                this.availability.onFailure();
            }
            throw err;
        }
    }
}

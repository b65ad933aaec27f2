import { EventId } from "../types/eventId";
import type { RowStore } from "../types/rowStore";
import { TransactionKind } from "../types/rowStore";
import type { StoreVersion } from "../types/storeVersion";
import { eraOf } from "../types/storeVersion";
import { Verdict } from "../types/verdict";
import { emit } from "../utils/events";
import { toFailure } from "./failures";
import { StreamRecords } from "./streamRecords";
import type { BaseVersion, StreamTable } from "./streamTable";
import { baseRowName, decodeStreams, encodeStreams, nodeRowName, rowVersionOf } from "./streamTable";

/** Time after a failed write in which streams are not recorded, so that not each request waits for the store. */
const failurePauseMs = 500;
/** Writes of one batch of streams: another one follows if a row had changed. */
const maxWrites = 2;

/** A stream that is to be recorded before it begins. */
export interface PendingRecord {
    readonly requestId: string;
    readonly service: string;
    readonly version: string;
}

interface PendingWrite extends PendingRecord {
    readonly resolve: (isRecorded: boolean) => void;
}

/** What the recorder needs of the table. */
export interface StreamTableSource {
    readonly table: StreamTable | undefined;
    readTable(): Promise<StreamTable>;
    baseOf(service: string): BaseVersion | undefined;
}

/** Writes the streams that this node begins to its row of the table; those that are requested during a write are written together. */
export class StreamRecorder {
    private readonly records: StreamRecords;
    private pending: PendingWrite[] = [];
    private isWriting = false;
    /** Whether the store may lack records of streams that have begun. */
    private hasUnwritten = false;
    private rowVersion: StoreVersion | undefined;
    private failedAt = Number.NEGATIVE_INFINITY;

    private constructor(
        private readonly store: RowStore,
        private readonly nodeId: string,
        private readonly source: StreamTableSource,
        lifetimeMs: () => number,
    ) {
        this.records = StreamRecords.create(lifetimeMs);
    }

    /** Creates a recorder; `lifetimeMs` returns how long callers may take a stream up. */
    static create(store: RowStore, nodeId: string, source: StreamTableSource, lifetimeMs: () => number): StreamRecorder {
        return new StreamRecorder(store, nodeId, source, lifetimeMs);
    }

    /** Version under which a request was recorded, or may have been; undefined if it was not. */
    versionOf(requestId: string): string | undefined {
        return this.records.get(requestId);
    }

    /** Whether the store has acknowledged the record. The base version of the stream's service is still the same then. */
    record(record: PendingRecord): Promise<boolean> {
        if (performance.now() - this.failedAt < failurePauseMs) {
            return Promise.resolve(false);
        }
        return new Promise(resolve => {
            this.pending.push({ ...record, resolve });
            void this.writePending();
        });
    }

    /** Records a stream that has begun without a record once the store can be reached. */
    recordLater({ requestId, version }: PendingRecord): void {
        this.records.set(requestId, version);
        this.hasUnwritten = true;
    }

    /** Replaces a record of another version, if there is one. */
    replace(record: PendingRecord): void {
        const recorded = this.versionOf(record.requestId);
        if (recorded !== undefined && recorded !== record.version) {
            this.recordLater(record);
            void this.flush();
        }
    }

    /** Writes all records again, as the store was restored from a copy that may lack some. */
    onRestored(): void {
        this.hasUnwritten = true;
    }

    /** Writes the records of streams that the store may lack. */
    async flush(): Promise<void> {
        if (this.hasUnwritten && !this.isWriting) {
            this.hasUnwritten = !await this.write([]);
        }
    }

    private async writePending(): Promise<void> {
        if (this.isWriting) {
            return;
        }
        this.isWriting = true;
        while (this.pending.length > 0) {
            const batch = this.pending;
            this.pending = [];
            const isRecorded = await this.write(batch);
            batch.forEach(({ resolve }) => resolve(isRecorded));
        }
        this.isWriting = false;
    }

    private async write(batch: readonly PendingRecord[]): Promise<boolean> {
        let mayBeWritten = false;
        try {
            for (let writes = 0; writes < maxWrites; writes++) {
                this.rowVersion ??= await this.readOwnRow();
                batch.forEach(({ requestId, version }) => this.records.set(requestId, version));
                mayBeWritten = true;
                if (await this.transact(batch, this.rowVersion)) {
                    return true;
                }
                mayBeWritten = false;
                this.rowVersion = undefined;
            }
            this.onFailed(batch, "a row had changed twice");
        }
        catch (err) {
            const { verdict, detail } = toFailure(err);
            mayBeWritten &&= verdict !== Verdict.NotRun;
            this.rowVersion = undefined;
            this.onFailed(batch, detail);
        }
        if (!mayBeWritten) {
            batch.forEach(({ requestId }) => this.records.delete(requestId));
        }
        return false;
    }

    private onFailed(batch: readonly PendingRecord[], detail: string): void {
        this.failedAt = performance.now();
        emit(EventId.StreamRecordFailed, { requests: batch.map(({ requestId }) => requestId), detail });
    }

    /** Version of this node's row; what an earlier process of the node recorded there is kept. */
    private async readOwnRow(): Promise<StoreVersion> {
        const name = nodeRowName(this.nodeId);
        const { row, version } = await this.store.readRow(name);
        if (row?.value) {
            Object.entries(decodeStreams(row)).filter(([requestId]) => this.records.get(requestId) === undefined).forEach(([requestId, softwareVersion]) =>
                this.records.set(requestId, softwareVersion)
            );
            return row.version;
        }
        return rowVersionOf({ bases: new Map(), streams: new Map(), nodeRows: [], version }, name);
    }

    private async transact(batch: readonly PendingRecord[], rowVersion: StoreVersion): Promise<boolean> {
        const services = [...new Set(batch.map(({ service }) => service))];
        const bases = services.map(service => ({ ...baseRowName(service), version: this.source.baseOf(service)?.rowVersion ?? 0 }));
        const result = await this.store.transact({
            conditions: [{ ...nodeRowName(this.nodeId), version: rowVersion }, ...bases],
            puts: [encodeStreams(this.nodeId, this.records.entries())],
        });
        if (result.kind === TransactionKind.Committed && eraOf(result.version) === eraOf(rowVersion)) {
            this.rowVersion = result.version;
            return true;
        }
        // The base version may have changed, or the store was restored.
        await this.source.readTable();
        return false;
    }
}

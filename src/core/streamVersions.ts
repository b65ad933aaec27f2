import { EventId } from "../types/eventId";
import type { RowStore } from "../types/rowStore";
import { TransactionKind } from "../types/rowStore";
import { absentVersionIn } from "../types/storeVersion";
import type { StreamOrigin } from "../types/streamOrigin";
import { OriginSource } from "../types/streamOrigin";
import { emit } from "../utils/events";
import { toFailure } from "./failures";
import { ServiceVersions } from "./serviceVersions";
import { StreamRecorder } from "./streamRecorder";
import { StreamRecords } from "./streamRecords";
import type { BaseVersion, StreamTable } from "./streamTable";
import { baseRowName, decodeStreamTable, encodeBase, streamTable } from "./streamTable";
import type { UpstreamDirectory } from "./upstreamDirectory";

/** The base version is replaced once it has had no upstream for this multiple of the time for which streams may be taken up. */
const baseRetirementFactor = 2;
/** Time after a failed read in which the base version is not asked for again, so that not each request waits for the store. */
const failurePauseMs = 500;
/** Rows of nodes that have not been written for this long are removed: their streams have ended. */
const nodeRowLifetimeMs = 600_000;
/** Rows that are removed in one transaction. */
const maxRemovedRows = 50;
/** Interval at which the table is read to maintain it, once it has rows. */
const maintenanceIntervalMs = 60_000;

/**
 * Knows the software version that began each stream. A service has one base version, and a stream of any other version is recorded in the store before it
 * begins: a stream without a record was begun by the base version, so nodes that have lost their memory know it too. While a service has had one version
 * only, nothing is stored.
 */
export class StreamVersions {
    readonly versions: ServiceVersions;
    private readonly begun: StreamRecords;
    private readonly recorder: StreamRecorder | undefined;
    table: StreamTable | undefined;
    private tableReadAt = Number.NEGATIVE_INFINITY;
    private readFailedAt = Number.NEGATIVE_INFINITY;
    private reading: Promise<StreamTable> | undefined;
    private nextReading: Promise<StreamTable> | undefined;

    private constructor(
        directory: UpstreamDirectory,
        private readonly store: RowStore | undefined,
        nodeId: string,
        private readonly lifetimeMs: () => number,
    ) {
        this.versions = ServiceVersions.create(directory);
        this.begun = StreamRecords.create(lifetimeMs);
        this.recorder = store && StreamRecorder.create(store, nodeId, this, lifetimeMs);
    }

    /** `lifetimeMs` returns how long callers may take a stream up. Without a store, only this node's own streams are known. */
    static create(directory: UpstreamDirectory, nodeId: string, lifetimeMs: () => number, store?: RowStore): StreamVersions {
        return new StreamVersions(directory, store, nodeId, lifetimeMs);
    }

    /** Base version of a service as last read; undefined while the service has had one version only. */
    baseOf(service: string): BaseVersion | undefined {
        return this.table?.bases.get(service);
    }

    /** Whether a stream may begin at a software version; it is recorded if necessary. */
    async mayBegin(service: string, requestId: string, version: string): Promise<boolean> {
        const base = await this.currentBase(service);
        const recorded = this.recorder?.versionOf(requestId);
        const needsRecord = (base !== undefined && base !== version) || (recorded !== undefined && recorded !== version);
        // Without an upstream of the base version, a stream without a record is refused when it is taken up.
        const isBaseGone = base !== undefined && !this.versions.of(service).includes(base) && (recorded === undefined || recorded === version);
        const mayBegin = !needsRecord || await this.recorder?.record({ service, requestId, version }) === true || isBaseGone;
        if (mayBegin) {
            this.begun.set(requestId, version);
        }
        return mayBegin;
    }

    /** The software version that began a stream. */
    async originOf(service: string, requestId: string | undefined): Promise<StreamOrigin> {
        const own = requestId === undefined ? undefined : this.begun.get(requestId);
        if (own !== undefined) {
            return { version: own, source: OriginSource.Own };
        }
        const onlyVersion = this.onlyVersionOf(service);
        if (!this.store) {
            return onlyVersion ?? { version: undefined, detail: "several versions serve, and no store says which one began the stream" };
        }
        try {
            const table = await this.readTable();
            const recorded = requestId === undefined ? undefined : table.streams.get(requestId);
            return recorded ? fromRecord(recorded) : this.fromBase(service, requestId) ?? this.onlyVersionOf(service) ?? unknownOrigin(requestId);
        }
        catch (err) {
            const mayRely = this.table !== undefined && this.baseOf(service) === undefined;
            return (mayRely ? onlyVersion : undefined) ?? { version: undefined, detail: `the records of streams could not be read: ${toFailure(err).detail}` };
        }
    }

    /** Age of the table as last read. */
    get tableAgeMs(): number {
        return performance.now() - this.tableReadAt;
    }

    /** Reads the table; calls during a read share the next one, which sees all that was written before them. */
    readTable(): Promise<StreamTable> {
        if (!this.reading) {
            this.reading = this.startReading().finally(() => this.reading = undefined);
            return this.reading;
        }
        this.nextReading ??= this.reading.catch(() => undefined).then(() => {
            this.nextReading = undefined;
            return this.readTable();
        });
        return this.nextReading;
    }

    /** Removes what is no longer needed from the table. Called now and then on one node. */
    async maintain(): Promise<void> {
        const { table } = this;
        if (!table || table.bases.size + table.nodeRows.length === 0) {
            return;
        }
        if (this.tableAgeMs > maintenanceIntervalMs) {
            await this.readTable();
        }
        await this.retireBases();
        const expired = this.table!.nodeRows.filter(({ writtenAt }) => writtenAt < Date.now() - nodeRowLifetimeMs).slice(0, maxRemovedRows);
        if (expired.length > 0) {
            await this.store!.transact({
                conditions: expired.map(({ name, version }) => ({ ...name, version })),
                puts: [],
                removes: expired.map(({ name }) => name),
            });
            await this.readTable();
        }
    }

    /** Replaces base versions that have been gone for so long that no stream of theirs can be taken up. */
    private async retireBases(): Promise<void> {
        for (const [service, { version, rowVersion }] of this.table?.bases ?? []) {
            const [next, ...others] = this.versions.of(service);
            const isRetired = this.versions.absentMs(service, version) > baseRetirementFactor * this.lifetimeMs();
            if (isRetired && next !== undefined && others.length === 0) {
                await this.writeBase(service, next, rowVersion, "retired");
            }
        }
    }

    private async startReading(): Promise<StreamTable> {
        try {
            const table = decodeStreamTable(await this.store!.readTable(streamTable));
            this.table = table;
            this.tableReadAt = performance.now();
            return table;
        }
        catch (err) {
            this.readFailedAt = performance.now();
            throw err;
        }
    }

    private fromBase(service: string, requestId: string | undefined): StreamOrigin | undefined {
        const base = this.baseOf(service);
        // Without the request that began it, a stream may also be one that was recorded.
        return base && requestId !== undefined ? { version: base.version, source: OriginSource.Base } : undefined;
    }

    private onlyVersionOf(service: string): StreamOrigin | undefined {
        const [version, ...others] = this.versions.of(service);
        return version !== undefined && others.length === 0 && this.baseOf(service) === undefined ? { version, source: OriginSource.OnlyVersion } : undefined;
    }

    /** The base version if it is known to be in force; it is determined and stored when a second version appears. */
    private async currentBase(service: string): Promise<string | undefined> {
        const known = this.baseOf(service);
        const isCurrent = known && this.versions.returnedAt(service, known.version) < this.tableReadAt;
        const isSingle = this.versions.of(service).length <= 1;
        if (!this.store || isCurrent || (isSingle && !known)) {
            return known?.version;
        }
        const first = this.versions.firstOf(service);
        if (performance.now() - this.readFailedAt < failurePauseMs) {
            return known?.version ?? first;
        }
        try {
            await this.readTable();
            if (!this.baseOf(service) && first !== undefined) {
                await this.writeBase(service, first, absentVersionIn(this.table!.version), "several versions serve");
            }
        }
        catch (err) {
            emit(EventId.BaseVersionUnknown, { service, assumed: known?.version ?? first, tableAgeMs: this.tableAgeMs, detail: toFailure(err).detail });
        }
        return this.baseOf(service)?.version ?? first;
    }

    private async writeBase(service: string, version: string, expected: number, reason: string): Promise<void> {
        const result = await this.store!.transact({
            conditions: [{ ...baseRowName(service), version: expected }],
            puts: [encodeBase(service, version)],
        });
        if (result.kind === TransactionKind.Committed) {
            emit(EventId.BaseVersionChanged, { service, version, before: this.baseOf(service)?.version, reason });
        }
        await this.readTable();
    }
}

const unknownOrigin = (requestId: string | undefined): StreamOrigin => ({
    version: undefined,
    detail: requestId === undefined
        ? "several versions serve, and the request does not name the one that began the stream"
        : "several versions serve, and none is recorded as the one before",
});

const fromRecord = ([version, ...others]: Iterable<string> & ReadonlySet<string>): StreamOrigin =>
    others.length === 0 && version !== undefined
        ? { version, source: OriginSource.Record }
        : { version: undefined, detail: "nodes recorded different versions" };

import { EventId } from "../types/eventId";
import type { RowStore } from "../types/rowStore";
import { TransactionKind } from "../types/rowStore";
import type { StoreVersion } from "../types/storeVersion";
import { absentVersionIn, eraOf, firstStoreEra } from "../types/storeVersion";
import type { StreamOrigin } from "../types/streamOrigin";
import { OriginSource } from "../types/streamOrigin";
import { emit } from "../utils/events";
import { getOrCreate } from "../utils/maps";
import { sleep } from "../utils/time";
import { toFailure } from "./failures";
import { ServiceVersions } from "./serviceVersions";
import { originOfRecord, unknownOrigin } from "./streamOrigins";
import { StreamRecorder } from "./streamRecorder";
import { StreamRecords } from "./streamRecords";
import type { BaseVersion, StreamTable } from "./streamTable";
import { baseRowName, decodeStreamTable, encodeBase, streamTable } from "./streamTable";
import { maintainStreamTable } from "./streamTableMaintenance";
import type { UpstreamDirectory } from "./upstreamDirectory";

/** Time after a failed read in which the base version is not asked for again, so that not each request waits for the store. */
const failurePauseMs = 500;

/** Longest wait for the base version of a service of which this node has seen one version only. */
const maxUniformWaitMs = 100;

/**
 * Knows the software version that began each stream. A service has one base version, and a stream of any other version is recorded in the store before it
 * begins: a stream without a record was begun by the base version, so nodes that have lost their memory know it too. While a service has one version,
 * nothing else is stored.
 */
export class StreamVersions {
    readonly versions: ServiceVersions;
    private readonly begun: StreamRecords;
    readonly recorder: StreamRecorder | undefined;
    table: StreamTable | undefined;
    private tableReadAt = Number.NEGATIVE_INFINITY;
    /** When this node last saw that the store had been restored from an older copy. */
    private restoredAt = Number.NEGATIVE_INFINITY;
    private readFailedAt = Number.NEGATIVE_INFINITY;
    /** Services whose base version this node stores shortly, unless another one does. */
    private readonly awaitedServices = new Set<string>();
    private readonly determining = new Map<string, Promise<string | undefined>>();
    private reading: Promise<StreamTable> | undefined;
    private nextReading: Promise<StreamTable> | undefined;

    private constructor(
        directory: UpstreamDirectory,
        private readonly store: RowStore | undefined,
        nodeId: string,
        private readonly lifetimeMs: () => number,
        firstWriteDelayMs: () => number,
        private readonly isInContact: () => boolean,
    ) {
        this.versions = ServiceVersions.create(directory);
        this.begun = StreamRecords.create(lifetimeMs);
        this.recorder = store && StreamRecorder.create(store, nodeId, this, lifetimeMs);
        // The base version is stored while its upstreams serve, as they may leave together with all nodes that know it.
        directory.observe(({ server }) => {
            if (store && server && !this.baseOf(server.service) && !this.awaitedServices.has(server.service)) {
                this.awaitedServices.add(server.service);
                setTimeout(() => void this.storeBase(server.service), firstWriteDelayMs()).unref();
            }
        });
    }

    /**
     * `lifetimeMs` returns how long callers may take a stream up, `firstWriteDelayMs` how long this node waits for another one to write the base version.
     * Without a store, only this node's own streams are known. `isInContact` returns whether the directory may be relied on while the store does not answer.
     */
    static create(
        directory: UpstreamDirectory,
        nodeId: string,
        lifetimeMs: () => number,
        store?: RowStore,
        firstWriteDelayMs: () => number = () => 0,
        isInContact: () => boolean = () => true,
    ): StreamVersions {
        return new StreamVersions(directory, store, nodeId, lifetimeMs, firstWriteDelayMs, isInContact);
    }

    /** Base version of a service as last read. */
    baseOf(service: string): BaseVersion | undefined {
        return this.table?.bases.get(service);
    }

    /** Whether a stream may begin at a software version; it is recorded if necessary. `recordedElsewhere` is the version that another node may have recorded. */
    async mayBegin(service: string, requestId: string, version: string, recordedElsewhere?: string): Promise<boolean> {
        const base = await this.currentBase(service);
        const isOtherRecorded = [this.recorder?.versionOf(requestId), recordedElsewhere].some(recorded => recorded !== undefined && recorded !== version);
        const needsRecord = (base !== undefined && base !== version) || isOtherRecorded;
        // Without an upstream of the base version, a stream without a record is refused when it is taken up.
        const isBaseGone = base !== undefined && !this.versions.of(service).includes(base) && !isOtherRecorded;
        const record = { service, requestId, version };
        const isRecorded = !needsRecord || await this.recorder?.record(record) === true;
        if (!isRecorded && !isBaseGone) {
            return false;
        }
        if (!isRecorded) {
            this.recorder?.recordLater(record);
        }
        return true;
    }

    /** The first event of a stream has come, here or through a peer: a record of an attempt at another version is replaced. */
    onBegun(service: string, requestId: string, version: string): void {
        this.begun.set(requestId, version);
        this.recorder?.replace({ service, requestId, version });
    }

    /** The software version that began a stream. */
    async originOf(service: string, requestId: string | undefined): Promise<StreamOrigin> {
        const own = requestId === undefined ? undefined : this.begun.get(requestId);
        if (own !== undefined) {
            return { version: own, source: OriginSource.Own };
        }
        if (!this.store) {
            return this.onlyVersionOf(service) ?? unknownOrigin(requestId);
        }
        try {
            await this.readTable();
        }
        catch (err) {
            // Records that were written since the last read are of other versions, of which no upstream is known here, unless this node is out of step.
            if (!this.table || !this.versions.isUniform(service) || !this.isInContact()) {
                return { version: undefined, detail: `the records of streams could not be read: ${toFailure(err).detail}` };
            }
        }
        return this.fromTable(service, requestId);
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

    /** Writes what could not be written before. Called now and then. */
    async flush(): Promise<void> {
        await this.recorder?.flush();
    }

    /** Removes what is no longer needed from the table. Called now and then on one node. */
    async maintain(): Promise<void> {
        if (this.store) {
            await maintainStreamTable(this.store, this, this.lifetimeMs());
        }
    }

    private async startReading(): Promise<StreamTable> {
        try {
            const table = decodeStreamTable(await this.store!.readTable(streamTable));
            if (eraOf(table.version) > (this.table ? eraOf(this.table.version) : firstStoreEra)) {
                this.restoredAt = performance.now();
                this.recorder?.onRestored();
            }
            this.table = table;
            this.tableReadAt = performance.now();
            return table;
        }
        catch (err) {
            this.readFailedAt = performance.now();
            throw err;
        }
    }

    private fromTable(service: string, requestId: string | undefined): StreamOrigin {
        const recorded = requestId === undefined ? undefined : this.table?.streams.get(requestId);
        if (recorded) {
            return originOfRecord(recorded);
        }
        if (performance.now() - this.restoredAt < this.lifetimeMs() && !this.versions.isUniform(service)) {
            return { version: undefined, detail: "the store was restored from an older copy, which lacks the last records of streams" };
        }
        const base = this.baseOf(service);
        // Without the request that began it, a stream may also be one that was recorded.
        return base && requestId !== undefined
            ? { version: base.version, source: OriginSource.Base }
            : this.onlyVersionOf(service) ?? unknownOrigin(requestId);
    }

    /** The only version that a service has had, as far as this node has seen and the store says. */
    private onlyVersionOf(service: string): StreamOrigin | undefined {
        const [version] = this.versions.of(service);
        const base = this.baseOf(service)?.version ?? version;
        return version !== undefined && version === base && this.versions.isUniform(service) ? { version, source: OriginSource.OnlyVersion } : undefined;
    }

    private async storeBase(service: string): Promise<void> {
        await this.currentBase(service);
        this.awaitedServices.delete(service);
    }

    /** The base version in force; it is determined and stored if there is none. */
    private async currentBase(service: string): Promise<string | undefined> {
        const known = this.baseOf(service);
        if (!this.store || (known && this.versions.returnedAt(service, known.version) < this.tableReadAt)) {
            return known?.version;
        }
        if (performance.now() - this.readFailedAt < failurePauseMs) {
            return known?.version ?? this.versions.firstOf(service);
        }
        const determined = getOrCreate(this.determining, service, () => this.determineBase(service).finally(() => this.determining.delete(service)));
        return known === undefined && this.versions.isUniform(service)
            ? Promise.race([determined, sleep(maxUniformWaitMs).then(() => this.versions.firstOf(service))])
            : determined;
    }

    private async determineBase(service: string): Promise<string | undefined> {
        const known = this.baseOf(service);
        // A node that has started amid several versions takes the one whose upstream has run the longest.
        const first = this.versions.firstOf(service);
        try {
            await this.readTable();
            if (!this.baseOf(service) && first !== undefined) {
                await this.writeBase(service, first, absentVersionIn(this.table!.version), "none was stored");
            }
        }
        catch (err) {
            emit(EventId.BaseVersionUnknown, { service, assumed: known?.version ?? first, tableAgeMs: this.tableAgeMs, detail: toFailure(err).detail });
        }
        return this.baseOf(service)?.version ?? first;
    }

    /** Writes the base version of a service if its row has the expected version. */
    async writeBase(service: string, version: string, expected: StoreVersion, reason: string): Promise<void> {
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

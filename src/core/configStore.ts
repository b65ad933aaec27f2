import type { ConfigChange, RecordId } from "../types/config";
import { RecordKind } from "../types/config";
import { EventId } from "../types/eventId";
import { emit } from "../utils/events";
import { assertInvariant } from "../utils/invariants";
import type { AdapterRecord, CallerRecord, CurrentRecord, DeploymentRecord, ModelRecord, RawRecord, ServiceRecord, TargetRecord } from "./recordSchemas";
import { parseRecord } from "./recordSchemas";

/** A record in effect. */
export interface StoredRecord {
    /** Sequence number of the change that wrote the record. */
    readonly revision: number;
    readonly raw: RawRecord;
    readonly record: CurrentRecord;
}

/** A full configuration, which a starting node reads from peers or the object store. */
export interface ConfigSnapshot {
    readonly sequence: number;
    readonly records: readonly ConfigChange[];
}

interface RecordOfKind {
    [RecordKind.Model]: ModelRecord;
    [RecordKind.Adapter]: AdapterRecord;
    [RecordKind.Caller]: CallerRecord;
    [RecordKind.Service]: ServiceRecord;
    [RecordKind.Deployment]: DeploymentRecord;
    [RecordKind.Target]: TargetRecord;
}

/** Number of recent changes kept for peers that are behind. */
const maxRecentChanges = 2_000;

const recordIdOf = ({ kind, name }: RecordId): string => `${kind}/${name}`;

/** The configuration in effect on one node. Its sequence number only increases. */
export class ConfigStore {
    private readonly records = new Map<string, StoredRecord>();
    private readonly latestChanges = new Map<string, ConfigChange>();
    private readonly callersByKeyHash = new Map<string, CallerRecord>();
    private readonly recentChanges: ConfigChange[] = [];
    private currentSequence = 0;

    private constructor() {}

    /** Creates an empty store; it cannot serve requests before the first configuration is applied. */
    static create(): ConfigStore {
        return new ConfigStore();
    }

    /** Sequence number of the newest applied change; 0 before the first. */
    get sequence(): number {
        return this.currentSequence;
    }

    /** Applies changes in sequence order and returns their number. Changes already applied are skipped; a gap ends the run. */
    applyChanges(changes: readonly ConfigChange[]): number {
        const before = this.currentSequence;
        for (const change of changes) {
            if (change.sequence > this.currentSequence + 1) {
                break;
            }
            if (change.sequence === this.currentSequence + 1) {
                this.apply(change);
                this.appendRecent(change);
                this.setSequence(change.sequence);
            }
        }
        return this.currentSequence - before;
    }

    /** Replaces the configuration by the snapshot if the snapshot is newer; returns whether it was. */
    replace(snapshot: ConfigSnapshot): boolean {
        if (snapshot.sequence <= this.currentSequence) {
            return false;
        }
        const snapshotIds = new Set(snapshot.records.map(recordIdOf));
        for (const [id, change] of this.latestChanges) {
            if (!snapshotIds.has(id) && change.record) {
                this.remove(id, change);
            }
        }
        snapshot.records.forEach(change => this.apply(change));
        this.recentChanges.length = 0;
        this.setSequence(snapshot.sequence);
        return true;
    }

    /** The full configuration in effect. */
    snapshot(): ConfigSnapshot {
        return { sequence: this.currentSequence, records: [...this.latestChanges.values()].filter(change => change.record) };
    }

    /** The changes after a sequence number, or undefined if they are no longer kept. */
    changesSince(sequence: number): readonly ConfigChange[] | undefined {
        const first = this.recentChanges[0]?.sequence ?? this.currentSequence + 1;
        return sequence + 1 < first ? undefined : this.recentChanges.filter(change => change.sequence > sequence);
    }

    /** The record in effect, with its raw form. */
    find(id: RecordId): StoredRecord | undefined {
        return this.records.get(recordIdOf(id));
    }

    /** The record in effect, in the newest schema version. */
    get<K extends RecordKind>(kind: K, name: string): RecordOfKind[K] | undefined {
        return this.records.get(recordIdOf({ kind, name }))?.record as RecordOfKind[K] | undefined;
    }

    /** All records of a kind that are in effect. */
    all<K extends RecordKind>(kind: K): readonly RecordOfKind[K][] {
        return [...this.records.values()].map(stored => stored.record).filter(record => record.kind === kind) as RecordOfKind[K][];
    }

    /** The caller whose key has this hash. */
    callerByKeyHash(keyHash: string): CallerRecord | undefined {
        return this.callersByKeyHash.get(keyHash);
    }

    private apply(change: ConfigChange): void {
        const id = recordIdOf(change);
        const latest = this.latestChanges.get(id);
        // A snapshot may already contain a later change of the record than the change feed delivers.
        if (latest && latest.sequence >= change.sequence) {
            return;
        }
        if (!change.record) {
            this.remove(id, change);
            return;
        }
        const result = parseRecord(change.record);
        if (!result.ok) {
            // A newer node wrote a record that this one cannot parse: the last readable version stays in effect.
            emit(EventId.ConfigUnreadableRecord, { record: id, sequence: change.sequence, faults: result.faults });
            this.latestChanges.set(id, change);
            return;
        }
        this.removeCallerKeys(id);
        this.latestChanges.set(id, change);
        this.records.set(id, { revision: change.sequence, raw: change.record, record: result.record });
        if (result.record.kind === RecordKind.Caller) {
            const caller = result.record;
            caller.keyHashes.forEach(hash => this.callersByKeyHash.set(hash, caller));
        }
    }

    private appendRecent(change: ConfigChange): void {
        this.recentChanges.push(change);
        if (this.recentChanges.length > maxRecentChanges) {
            this.recentChanges.shift();
        }
    }

    private remove(id: string, change: ConfigChange): void {
        this.removeCallerKeys(id);
        this.records.delete(id);
        this.latestChanges.set(id, { ...change, record: undefined });
    }

    private removeCallerKeys(id: string): void {
        const record = this.records.get(id)?.record;
        if (record?.kind === RecordKind.Caller) {
            record.keyHashes.forEach(hash => this.callersByKeyHash.delete(hash));
        }
    }

    private setSequence(sequence: number): void {
        assertInvariant(sequence > this.currentSequence, EventId.InvariantConfigOrder, () => `sequence ${sequence} does not exceed ${this.currentSequence}`);
        this.currentSequence = sequence;
    }
}

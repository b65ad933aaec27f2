import type { ConfigChange, RecordId } from "../types/config";
import { RecordKind } from "../types/config";
import { EventId } from "../types/eventId";
import { emit } from "../utils/events";
import { assertInvariant } from "../utils/invariants";
import type { AdapterRecord, CallerRecord, CurrentRecord, DeploymentRecord, ModelRecord, RawRecord, ServiceRecord, TargetRecord } from "./recordSchemas";
import { parseRecord } from "./recordSchemas";

/** A record in force. */
export interface StoredRecord {
    /** Sequence of the change that made it. */
    readonly revision: number;
    readonly raw: RawRecord;
    readonly record: CurrentRecord;
}

/** A whole configuration, as peers and the object store hand it to a starting node. */
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

/** Changes kept for peers that are behind. */
const maxRecentChanges = 2_000;

const idOf = ({ kind, name }: RecordId): string => `${kind}/${name}`;

/** The configuration in force on one node. Its sequence only rises. */
export class ConfigStore {
    private readonly held = new Map<string, StoredRecord>();
    private readonly changes = new Map<string, ConfigChange>();
    private readonly callers = new Map<string, CallerRecord>();
    private readonly recent: ConfigChange[] = [];
    private current = 0;

    private constructor() {}

    /** Makes an empty store, which is not ready to serve. */
    static create(): ConfigStore {
        return new ConfigStore();
    }

    /** Sequence of the newest change in force; 0 before the first. */
    get sequence(): number {
        return this.current;
    }

    /** Takes changes in sequence order; those already in force are passed over, a gap ends the run. */
    applyChanges(changes: readonly ConfigChange[]): number {
        const before = this.current;
        for (const change of changes) {
            if (change.sequence > this.current + 1) {
                break;
            }
            if (change.sequence === this.current + 1) {
                this.apply(change);
                this.remember(change);
                this.setSequence(change.sequence);
            }
        }
        return this.current - before;
    }

    /** Takes a whole configuration if it is newer than the one in force. */
    replace(snapshot: ConfigSnapshot): boolean {
        if (snapshot.sequence <= this.current) {
            return false;
        }
        const named = new Set(snapshot.records.map(idOf));
        for (const [id, change] of this.changes) {
            if (!named.has(id) && change.record) {
                this.remove(id, change);
            }
        }
        snapshot.records.forEach(change => this.apply(change));
        this.recent.length = 0;
        this.setSequence(snapshot.sequence);
        return true;
    }

    /** The configuration in force as a whole. */
    snapshot(): ConfigSnapshot {
        return { sequence: this.current, records: [...this.changes.values()].filter(change => change.record) };
    }

    /** The changes after a sequence, undefined where they are no longer kept. */
    changesSince(sequence: number): readonly ConfigChange[] | undefined {
        const first = this.recent[0]?.sequence ?? this.current + 1;
        return sequence + 1 < first ? undefined : this.recent.filter(change => change.sequence > sequence);
    }

    /** The record in force with its raw form. */
    find(id: RecordId): StoredRecord | undefined {
        return this.held.get(idOf(id));
    }

    /** The record in force, in the newest schema version. */
    get<K extends RecordKind>(kind: K, name: string): RecordOfKind[K] | undefined {
        return this.held.get(idOf({ kind, name }))?.record as RecordOfKind[K] | undefined;
    }

    /** All records of a kind in force. */
    all<K extends RecordKind>(kind: K): readonly RecordOfKind[K][] {
        return [...this.held.values()].map(held => held.record).filter(record => record.kind === kind) as RecordOfKind[K][];
    }

    /** The caller whose key has this hash. */
    callerByKeyHash(keyHash: string): CallerRecord | undefined {
        return this.callers.get(keyHash);
    }

    private apply(change: ConfigChange): void {
        const id = idOf(change);
        const known = this.changes.get(id);
        // A listing of records may already hold a later change than the one that the feed brings.
        if (known && known.sequence >= change.sequence) {
            return;
        }
        if (!change.record) {
            this.remove(id, change);
            return;
        }
        const reading = parseRecord(change.record);
        if (!reading.ok) {
            // The last readable form stays in force: a newer node wrote what this one cannot read.
            emit(EventId.ConfigUnreadableRecord, { record: id, sequence: change.sequence, faults: reading.faults });
            this.changes.set(id, change);
            return;
        }
        this.forgetCaller(id);
        this.changes.set(id, change);
        this.held.set(id, { revision: change.sequence, raw: change.record, record: reading.record });
        if (reading.record.kind === RecordKind.Caller) {
            const caller = reading.record;
            caller.keyHashes.forEach(hash => this.callers.set(hash, caller));
        }
    }

    private remember(change: ConfigChange): void {
        this.recent.push(change);
        if (this.recent.length > maxRecentChanges) {
            this.recent.shift();
        }
    }

    private remove(id: string, change: ConfigChange): void {
        this.forgetCaller(id);
        this.held.delete(id);
        this.changes.set(id, { ...change, record: undefined });
    }

    private forgetCaller(id: string): void {
        const record = this.held.get(id)?.record;
        if (record?.kind === RecordKind.Caller) {
            record.keyHashes.forEach(hash => this.callers.delete(hash));
        }
    }

    private setSequence(sequence: number): void {
        assertInvariant(sequence > this.current, EventId.InvariantConfigOrder, () => `sequence ${sequence} after ${this.current}`);
        this.current = sequence;
    }
}

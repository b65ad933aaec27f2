import type { RawRecord } from "../core/recordSchemas";

/** Kinds of records that operators write. */
export enum RecordKind {
    Model = "model",
    Adapter = "adapter",
    Caller = "caller",
    Service = "service",
    Deployment = "deployment",
    Target = "target",
}

/** Name of a record. */
export interface RecordId {
    readonly kind: RecordKind;
    readonly name: string;
}

/** One change of the configuration; an absent record means withdrawn. */
export interface ConfigChange extends RecordId {
    readonly sequence: number;
    /** Revision of the record that the change made; it is the sequence of the change. */
    readonly operationId: string;
    readonly at: number;
    readonly record?: RawRecord;
}

/** What an operator asks for; the base is the revision that the operator read, 0 for a new record. */
export interface RecordEdit extends RecordId {
    readonly base?: number;
    readonly record?: RawRecord;
}

/** The head row of the change feed. */
export interface ConfigHead {
    readonly sequence: number;
}

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

/** Identity of a record. */
export interface RecordId {
    readonly kind: RecordKind;
    readonly name: string;
}

/** One change of the configuration; without a record, it deletes the one of that name. */
export interface ConfigChange extends RecordId {
    /** Sequence number of the change; also the revision of the record that it wrote. */
    readonly sequence: number;
    readonly operationId: string;
    readonly at: number;
    readonly record?: RawRecord;
}

/** An edit that an operator submits; the base is the revision that the operator read, 0 for a new record. */
export interface RecordEdit extends RecordId {
    readonly base?: number;
    readonly record?: RawRecord;
}

/** The head row of the change feed. */
export interface ConfigHead {
    readonly sequence: number;
}

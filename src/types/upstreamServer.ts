/** Whether an upstream takes new requests. */
export enum UpstreamState {
    Ready = "ready",
    Draining = "draining",
}

/** A model that a runner holds. */
export interface ResidentModel {
    readonly name: string;
    readonly version: number;
    readonly adapters: readonly string[];
}

/** What an upstream says of itself in the platform's directory. */
export interface UpstreamServer {
    /** Names one start of the upstream, mostly. */
    readonly id: string;
    readonly service: string;
    /** IP address and port. */
    readonly address: string;
    readonly availabilityZone: string;
    readonly slots: number;
    readonly state: UpstreamState;
    readonly models: readonly ResidentModel[];
    /** Models with a copy of their weights in the runner's memory or on its disk. */
    readonly inMemory: readonly string[];
    readonly onDisk: readonly string[];
    /** Epoch milliseconds of its start; tells two starts under one ID apart. */
    readonly bornAt: number;
    /** Set on an upstream that is taken away at short notice. */
    readonly remainingMs?: number;
}

/** A directory entry with the version of its row. */
export interface DirectoryEntry {
    readonly server: UpstreamServer;
    readonly version: number;
}

/** One change of the directory; an undefined server means that its row was dropped. */
export interface DirectoryChange {
    readonly id: string;
    readonly version: number;
    readonly server?: UpstreamServer;
}

import type { StoreVersion } from "./storeVersion";

/** Whether an upstream accepts new requests. */
export enum UpstreamState {
    Ready = "ready",
    Draining = "draining",
}

/** A model that a runner has loaded, with its adapters. */
export interface ResidentModel {
    readonly name: string;
    readonly version: number;
    readonly adapters: readonly string[];
}

/** An upstream's entry in the platform's directory. */
export interface UpstreamServer {
    /** Usually differs at each start of the upstream; `bornAt` distinguishes starts with the same ID. */
    readonly id: string;
    readonly service: string;
    /** IP address and port. */
    readonly address: string;
    readonly availabilityZone: string;
    /** Version of its software, which may differ within a service; undefined if it states none. */
    readonly softwareVersion?: string;
    readonly slots: number;
    readonly state: UpstreamState;
    readonly models: readonly ResidentModel[];
    /** Models whose weights are cached in the runner's memory or on its disk. */
    readonly inMemory: readonly string[];
    readonly onDisk: readonly string[];
    /** Epoch milliseconds of its start. */
    readonly bornAt: number;
    /** Orders that it has accepted since its start. */
    readonly acceptedOrders: number;
    /** Time left, for an upstream that will be removed at short notice. */
    readonly remainingMs?: number;
}

/** An upstream with the version of its directory row. */
export interface DirectoryEntry {
    readonly server: UpstreamServer;
    readonly version: StoreVersion;
}

/** A change of one directory row; `server` is undefined if the row was deleted. */
export interface DirectoryChange {
    readonly id: string;
    readonly version: StoreVersion;
    readonly server?: UpstreamServer;
}

/** An upstream's software version; those that state none count as one version. */
export const softwareVersionOf = ({ softwareVersion = "" }: UpstreamServer): string => softwareVersion;

/** Identifies an upstream's process: it may start again under the same ID. */
export const processKey = ({ id, bornAt }: UpstreamServer): string => `${id}@${bornAt}`;

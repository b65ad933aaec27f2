import type { ResidentModel } from "./upstreamServer";

/** A runner's report of its state, which may lag by some hundred milliseconds. */
export interface RunnerReport {
    readonly models: readonly ResidentModel[];
    readonly inMemory: readonly string[];
    readonly onDisk: readonly string[];
    /** Adapters that are being loaded, as `model/adapter`. */
    readonly loadingAdapters: readonly string[];
    /** Whether a model is being loaded or unloaded. */
    readonly isBusy: boolean;
    /** Number of orders accepted since the runner's start. */
    readonly acceptedOrders: number;
    readonly queued: number;
    readonly active: number;
    readonly bornAt: number;
}

export enum RunnerOrderKind {
    Load = "load",
    Unload = "unload",
}

/** An order to a runner to load or unload a model or adapter. */
export interface RunnerOrder {
    readonly kind: RunnerOrderKind;
    readonly model: string;
    readonly adapter?: string;
    /** The runner refuses the order unless it has accepted exactly this many orders before. */
    readonly expectedAcceptedOrders: number;
    readonly holder: string;
    readonly epoch: number;
}

/** Outcome of an order to a runner. */
export enum RunnerOrderAnswer {
    /** The order is being executed. */
    Accepted = "accepted",
    /** There was nothing to do, or the order is complete already. */
    Done = "done",
    /** Another order is in progress, or the count of accepted orders differs. */
    Conflict = "conflict",
    StaleEpoch = "stale-epoch",
    Invalid = "invalid",
    /** Another process answers at the address. */
    WrongInstance = "wrong-instance",
    /** No answer came: the order may still be executed later. */
    Unknown = "unknown",
}

export interface RunnerAddress {
    readonly id: string;
    /** Epoch milliseconds of its start. */
    readonly bornAt: number;
    readonly address: string;
}

/** The controller's client to runners. */
export interface RunnerControl {
    fetchReport(runner: RunnerAddress): Promise<RunnerReport>;
    order(runner: RunnerAddress, order: RunnerOrder): Promise<RunnerOrderAnswer>;
}

import type { ResidentModel } from "./upstreamServer";

/** What a runner reports when it is asked; some hundred milliseconds old. */
export interface RunnerReport {
    readonly models: readonly ResidentModel[];
    readonly inMemory: readonly string[];
    readonly onDisk: readonly string[];
    /** Adapters on their way to the runner, as `model/adapter`. */
    readonly loadingAdapters: readonly string[];
    /** Whether a model is being loaded or unloaded. */
    readonly isBusy: boolean;
    /** Orders accepted since the start. */
    readonly acceptedOrders: number;
    readonly queued: number;
    readonly active: number;
    readonly bornAt: number;
}

/** What an order asks of a runner. */
export enum RunnerOrderKind {
    Load = "load",
    Unload = "unload",
}

/** An order to a runner. */
export interface RunnerOrder {
    readonly kind: RunnerOrderKind;
    readonly model: string;
    readonly adapter?: string;
    /** The runner refuses the order unless it has accepted just so many before. */
    readonly expectedAcceptedOrders: number;
    readonly holder: string;
    readonly epoch: number;
}

/** How a runner answered an order. */
export enum RunnerOrderAnswer {
    /** It is being carried out. */
    Accepted = "accepted",
    /** There was nothing to do, or it is done already. */
    Done = "done",
    /** Another order is in progress, or the count of accepted orders differs. */
    Conflict = "conflict",
    StaleEpoch = "stale-epoch",
    Invalid = "invalid",
    /** Another process answers at the address. */
    WrongInstance = "wrong-instance",
    /** No answer came: it may be carried out later. */
    Unknown = "unknown",
}

/** Where a runner is reached. */
export interface RunnerAddress {
    readonly id: string;
    readonly address: string;
}

/** Speaks with runners as their controller. */
export interface RunnerControl {
    fetchReport(runner: RunnerAddress): Promise<RunnerReport>;
    order(runner: RunnerAddress, order: RunnerOrder): Promise<RunnerOrderAnswer>;
}

/** State of an artifact on an engine, as the engine reports it. */
export enum ResidencyState {
    Loading = "loading",
    Resident = "resident",
    Unloading = "unloading",
}

/** A model or adapter held by an engine. */
export interface Residency {
    readonly artifact: string;
    readonly memoryMiB: number;
    readonly state: ResidencyState;
    /** Requests in progress that use the artifact. */
    readonly active: number;
}

/** Report of an engine; it may be out of date. */
export interface EngineReport {
    readonly incarnation: string;
    readonly sequence: number;
    readonly memoryMiB: number;
    readonly slots: number;
    readonly active: number;
    readonly queued: number;
    /** Highest fencing number that the engine has seen; 0 if it ignores them. */
    readonly fence: number;
    readonly leaving: boolean;
    readonly residencies: readonly Residency[];
    /** Orders that the engine has accepted and not yet completed. */
    readonly openOrders: readonly string[];
}

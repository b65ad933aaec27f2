import type { RunnerCrash } from "./runnerCrash";
import type { StoreVersion } from "./storeVersion";

/** A holder's right to send orders to one runner. Its last order arrives before `untilMs` on the store's clock. */
export interface RunnerLease {
    readonly holder: string;
    readonly untilMs: number;
}

/** Row of the controller lease, held by the one node that controls the runners. Times are on the store's clock. */
export interface ControllerRow {
    /** VM of the holder; a process restarted on the same VM is the same holder. */
    readonly holder: string;
    /** Differs at each start of the holder's process. */
    readonly boot: string;
    /** Address at which peers reach the holder. */
    readonly peerAddress: string;
    /** Whether the holder has released the lease. */
    readonly isReleased: boolean;
    /** Expiry of the lease unless it is renewed. */
    readonly untilMs: number;
    /** Era of the store in which the row was written. */
    readonly era: number;
    /** Until when orders may arrive without a runner lease in this row, because a restore of the store has lost it; 0 if none may. */
    readonly unrecordedUntilMs: number;
    /** Runner leases: the newest of each runner that recently received orders, of any holder. */
    readonly turns: Readonly<Record<string, RunnerLease>>;
    /** Start times of the last loads from the weight store, by any holder. */
    readonly storeLoads: readonly number[];
    /** Crashes of runners behind the quarantines of prompt parts, which outlive the nodes. */
    readonly crashes: readonly StoredCrash[];
    /** Loads that a runner may still execute, ordered by any holder. */
    readonly loads: readonly StoredLoad[];
}

/** A load that was sent to a process of a runner and has not been answered. */
export interface StoredLoad {
    readonly runner: string;
    /** Start of the process. */
    readonly bornAt: number;
    /** Identifies the order among those to this process. */
    readonly order: string;
    readonly memoryMb: number;
    readonly adapterSlots: number;
    /** When no copy can arrive any more. */
    readonly untilMs: number;
}

/** A load that may still be executed for some time. */
export type UnansweredLoad = Omit<StoredLoad, "untilMs"> & { readonly forMs: number; };

/** Loads without an answer that a controller knows and its row keeps. */
export interface DurableLoads {
    readonly durable: readonly UnansweredLoad[];
    add(load: UnansweredLoad): void;
}

/** A crash that one of the prompt parts caused. */
export interface StoredCrash {
    /** Identifies the runner's process. */
    readonly id: string;
    readonly atMs: number;
    readonly parts: readonly string[];
}

/** Crashes that nodes know and the controller's row keeps. */
export interface DurableCrashes {
    readonly durable: readonly RunnerCrash[];
    add(crash: RunnerCrash): void;
}

/** A holder's statement that it sends no more orders under the given version of the row. */
export interface LeaseYield {
    readonly version: StoreVersion;
}

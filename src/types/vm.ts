/** What a VM does for the system. */
export enum VmKind {
    Node = "node",
    Runner = "runner",
    Service = "service",
}

/** State of a VM as the platform's list shows it. */
export enum VmState {
    Live = "live",
    Leaving = "leaving",
}

/** An entry of the platform's VM list, which lags. */
export interface Vm {
    readonly id: string;
    readonly kind: VmKind;
    readonly state: VmState;
    readonly availabilityZone: string;
    readonly url: string;
    /** The deployment of a runner or the name of a plain service. */
    readonly group?: string;
    readonly accelerators?: number;
}

/** The platform's lagging list of live and leaving VMs. */
export interface VmList {
    list(): Promise<readonly Vm[]>;
}

/** Role of a VM. */
export enum VmKind {
    Node = "node",
    Runner = "runner",
    Service = "service",
}

/** State of a VM in the platform's list. */
export enum VmState {
    Live = "live",
    Leaving = "leaving",
}

/** An entry of the platform's VM list, which may be out of date. */
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

/** The platform's list of live and leaving VMs; it may be out of date. */
export interface VmList {
    list(): Promise<readonly Vm[]>;
}

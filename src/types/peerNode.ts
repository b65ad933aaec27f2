/** A node as its peers know it. */
export interface PeerNode {
    /** Address at which peers reach it. */
    readonly address: string;
    readonly zone: string;
    /** Processor capacity of its VM, in cores. */
    readonly cores: number;
}

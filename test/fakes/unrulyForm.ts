import type { Socket } from "node:net";

/** A port of a node. */
export enum UnrulyPort {
    Callers = "callers",
    Peers = "peers",
    Readiness = "readiness",
    Metrics = "metrics",
}

/** What happens to the node while callers misbehave. */
export enum UnrulyChange {
    /** It gets a newer configuration every half second. */
    Configurations = "configurations",
    /** It is told to stop. */
    Stop = "stop",
}

/** A way in which callers misbehave. */
export interface UnrulyForm {
    readonly name: string;
    readonly callers: number;
    /** The port to which they connect; that of callers by default. */
    readonly port?: UnrulyPort;
    /** Descriptors of the node, if not the usual number. */
    readonly descriptors?: number;
    /** Heap of the node, if not that of the deploy file. */
    readonly heapMb?: number;
    /** How long the callers misbehave. */
    readonly forMs?: number;
    readonly change?: UnrulyChange;
    /** Whether each caller whose connection was closed opens another one. */
    readonly comesAgain?: boolean;
    /** Begins to misbehave on an open connection. */
    readonly begin: (socket: Socket) => void;
}

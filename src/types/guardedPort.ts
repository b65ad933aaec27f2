/** Ports of a node that are not for callers. */
export enum GuardedPort {
    Peers = "peers",
    Readiness = "readiness",
    Metrics = "metrics",
}

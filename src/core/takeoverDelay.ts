/** Longest time for which the smallest node leaves a vacant controller lease to larger ones. */
const maxTakeoverDelayMs = 1_000;
/** A node that is cut off from the upstreams leaves the lease to others for so much longer: it could give no orders. */
const cutOffDelayMs = 5_000;
/** Capacity of the largest node that is assumed before any peer is known, in cores. */
const assumedLargestCores = 1;

/**
 * How long a node leaves a vacant controller lease to larger nodes. Answering the reports of all nodes and planning takes a share of a core that
 * does not depend on the node, so that a small controller falls behind in a large fleet. Answers the load of takeovers with 80 nodes and more.
 */
export const takeoverDelayMs = (ownCores: number, largestKnownCores: number | undefined, isCutOff = false): number =>
    (isCutOff ? cutOffDelayMs : 0) + maxTakeoverDelayMs * Math.max(0, 1 - ownCores / (largestKnownCores ?? assumedLargestCores));

import type { Gateway } from "./gateway";

/** What callers and upstreams hold of a node's memory, for a log line. */
export const describeUse = (gateway: Gateway): Readonly<Record<string, unknown>> => ({
    inProgress: gateway.inProgress,
    upstreamConnections: gateway.upstreamConnections,
    upstreams: gateway.directory.all().length,
    answerParts: gateway.receivedParts.parts,
    answerBytes: gateway.receivedParts.bytes,
    requestHeapBytes: gateway.requestHeap.usedBytes,
    unfinishedHeadBytes: gateway.unfinishedHeads.usedBytes,
    usedByHolder: gateway.memory.usedByHolder,
});

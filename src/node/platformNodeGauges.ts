import { availabilityGauges } from "../forward/availabilityGauges";
import type { CallerServer } from "../forward/callerServer";
import { contactGauges } from "../forward/contactGauges";
import type { Gateway } from "../forward/gateway";
import { parsePacer } from "../forward/parsePacer";
import { speedGauges } from "../forward/speedGauges";
import { zoneGauges } from "../forward/zoneGauges";
import type { GaugeSpec } from "../plugins/metrics";
import { MemoryHolder } from "../types/memoryHolder";
import { readPacer } from "../utils/readPacer";

const msPerS = 1_000;

/** Gauges of a node's state, beside those of its runtime. */
export const platformNodeGauges = (gateway: Gateway, server: CallerServer, heldEpoch: () => number | undefined): readonly GaugeSpec[] => [
    ...availabilityGauges(gateway),
    ...contactGauges(gateway),
    ...zoneGauges(gateway),
    ...speedGauges(gateway),
    { name: "config_version", help: "Version of the configuration in force", read: () => gateway.config?.version ?? 0 },
    { name: "customers", help: "Customers in the configuration in force, 0 without any", read: () => gateway.customers?.size ?? 0 },
    {
        name: "config_age_seconds",
        help: "Time since the configuration in force was known to be the newest, infinite before that",
        read: () => gateway.confirmation.ageMs / msPerS,
    },
    { name: "directory_version", help: "Version of the store up to which the directory is known", read: () => gateway.directory.version },
    { name: "requests_in_progress", help: "Requests in progress", read: () => gateway.inProgress },
    { name: "requests_passed_on", help: "Requests in progress that were passed on to peers", read: () => gateway.peers.passedOn },
    { name: "requests_taken_over", help: "Requests in progress that peers passed on to this node", read: () => gateway.peers.takenOver },
    { name: "answer_bytes_held", help: "Bytes of answers that are kept until they are complete", read: () => gateway.answerMemory.used },
    { name: "answer_parts_received", help: "Parts in which the bodies of answers arrived, since the start", read: () => gateway.receivedParts.parts },
    { name: "answer_bytes_received", help: "Bytes of these parts, without what frames them", read: () => gateway.receivedParts.bytes },
    { name: "longest_turn_seconds", help: "Longest turn of the event loop within the last 3 s", read: () => gateway.turnWatch.longestMs / msPerS },
    { name: "read_pauses", help: "How often reading from another process waited for a later turn, since the start", read: () => readPacer.pauses },
    {
        name: "caller_read_pauses",
        help: "How often reading from a caller or a peer that calls waited for a later turn, since the start",
        read: () => parsePacer.pauses,
    },
    {
        name: "own_answers_given_up",
        help: "Answers of runners, peers and the store that this node gave up for their size or for want of memory, since the start",
        read: () => gateway.ownAnswers.givenUp,
    },
    { name: "slow_readers", help: "Streams of runners whose callers have not taken all that was written", read: () => gateway.slowReaders.size },
    {
        name: "slow_readers_cut",
        help: "Streams that were cut because their callers read too slowly, since the start",
        read: () => gateway.slowReaders.cutCount,
    },
    { name: "caller_connections", help: "Open connections of callers", read: () => server.openConnections },
    { name: "upstream_connections", help: "Connections to upstreams that are open or being opened", read: () => gateway.upstreamConnections },
    { name: "memory_limit_bytes", help: "Memory that bodies, answers and connections together may use", read: () => gateway.memory.limitBytes },
    { name: "heap_used_bytes", help: "JavaScript heap in use, with what has not been collected yet", read: () => gateway.memoryGauge.read().heapUsed },
    { name: "heap_limit_bytes", help: "Size of the JavaScript heap at which the runtime ends the process", read: () => gateway.memoryGauge.read().heapLimit },
    { name: "request_heap_bytes", help: "JavaScript heap counted for requests in progress", read: () => gateway.requestHeap.usedBytes },
    { name: "request_heap_limit_bytes", help: "JavaScript heap that requests in progress may hold", read: () => gateway.requestHeap.limitBytes },
    { name: "unfinished_head_bytes", help: "Memory counted for heads that have not been read to their end", read: () => gateway.unfinishedHeads.usedBytes },
    {
        name: "unfinished_head_limit_bytes",
        help: "Memory that heads that have not been read to their end may hold",
        read: () => gateway.unfinishedHeads.limitBytes,
    },
    { name: "unfinished_heads_given_up", help: "Heads that were given up for want of room, since the start", read: () => gateway.unfinishedHeads.givenUp },
    { name: "bodies_waiting", help: "Request bodies that wait for memory before they are read", read: () => gateway.memory.waiting },
    ...Object.values(MemoryHolder).map(holder => ({
        name: `memory_${holder}_bytes`,
        help: `Memory counted for: ${holder.replace("_", " ")}`,
        read: () => gateway.memory.usedBy(holder),
    })),
    { name: "upstreams_known", help: "Upstreams in the directory", read: () => gateway.directory.all().length },
    { name: "nodes_known", help: "Nodes that share the budgets of repeats", read: () => gateway.knownNodes },
    { name: "controller_epoch", help: "Epoch under which this node controls runners, 0 where it does not", read: () => heldEpoch() ?? 0 },
];

import FakeTimers from "@sinonjs/fake-timers";
import { DigestPublisher } from "../src/core/digestPublisher";
import { isZoneOrigin, zoneOrigin } from "../src/core/digestStore";
import { raise } from "../src/core/failures";
import type { NodeContext } from "../src/node/context";
import { StandaloneNode } from "../src/node/standaloneNode";
import { FailureKind } from "../src/types/failureKind";
import { DigestName } from "../src/types/nodeDigest";
import type { Vm } from "../src/types/vm";
import { VmKind, VmState } from "../src/types/vm";
import { createRandom, pick } from "../src/utils/random";
import { MemoryTable } from "../test/fakes/memoryTable";
import { createStandaloneTestSettings } from "../test/fakes/standaloneTestSettings";
import { formatNumber, leastSquaresSlope, printTable } from "./measure";
import { copiesPerRunner, sampleArtifactKey, sampleReport } from "./samples";

const runnersPerNode = 2;
const requestsPerSecond = 9;
const models = 1_400;
const foreignZones = 4;
const foreignRunners = 182;
const rounds = 60;
const warmRounds = 30;
/** One exchange with another zone for so many inside the own one. */
const nearPerFar = 5;
const secondsPerExchange = 2;

const createContext = (node: number, vms: readonly Vm[]): NodeContext => {
    const { context } = StandaloneNode.create(createStandaloneTestSettings(`entry-${node}`, "za"), {
        table: MemoryTable.create(),
        objects: { get: () => Promise.resolve(undefined), put: () => Promise.resolve() },
        vmList: { list: () => Promise.resolve(vms) },
        engines: () => raise(FailureKind.Internal, "no engines here"),
        random: createRandom(node),
    });
    context.fleet.setVms(vms);
    return context;
};

/** What the other zones tell: seldom their copies, every 30 s their load. */
const tellForeignZones = (node: NodeContext, round: number): void => {
    for (let zone = 0; zone < foreignZones; zone++) {
        const origin = zoneOrigin(`z${zone}`);
        if (round === 0) {
            for (let runner = 0; runner < foreignRunners; runner++) {
                const artifacts = [...Array(copiesPerRunner).keys()].map(copy => sampleArtifactKey((runner * copiesPerRunner + copy) % models));
                node.digests.publish(`${DigestName.Reports} runner-${zone}-${runner}`, { [`runner-${zone}-${runner}`]: sampleReport(artifacts, 1) }, origin);
            }
        }
        if (round % 30 === 0) {
            node.digests.publish(
                DigestName.Load,
                Object.fromEntries([...Array(foreignRunners).keys()].map(runner => [`runner-${zone}-${runner}`, [(round + runner) % 30, 0]])),
                origin,
            );
        }
    }
};

const size = (value: unknown): number => JSON.stringify(value).length;

const runNodes = (nodes: number) => {
    const random = createRandom(nodes);
    const vm = (id: string, kind: VmKind): Vm => ({ id, kind, state: VmState.Live, availabilityZone: "za", url: "http://10.0.0.1:8080", group: "d" });
    const vms = [...Array(nodes).keys()].flatMap(
        node => [vm(`entry-${node}`, VmKind.Node), ...[...Array(runnersPerNode).keys()].map(at => vm(`runner-${node}-${at}`, VmKind.Runner))],
    );
    const contexts = [...Array(nodes).keys()].map(node => createContext(node, vms));
    const publishers = contexts.map(context => DigestPublisher.create(context));
    const clock = FakeTimers.install({ now: Date.UTC(2026, 0, 1), toFake: ["Date", "performance"] });
    let bytes = 0;
    let cpu = 0;
    const exchange = (from: NodeContext, to: NodeContext, isNear: boolean) => {
        const accepts = isNear ? undefined : isZoneOrigin;
        const summary = from.digests.summary(accepts);
        const answer = to.digests.answer(summary, accepts);
        from.digests.merge(answer.parts);
        const push = from.digests.newerThan(answer.summary, accepts);
        to.digests.merge(push);
        // Each byte is counted where it leaves and where it arrives.
        bytes += 2 * (size(summary) + size(answer) + size(push));
    };
    try {
        for (let round = 0; round < warmRounds + rounds; round++) {
            if (round === warmRounds) {
                bytes = cpu = 0;
            }
            const before = process.cpuUsage();
            tellForeignZones(contexts[round % nodes]!, round);
            contexts.forEach((context, node) => {
                for (let request = 0; request < requestsPerSecond; request++) {
                    // Demand falls off by rank, as it does for most catalogues.
                    context.demand.count(sampleArtifactKey(Math.floor(models ** random()) - 1));
                }
                for (let at = 0; at < runnersPerNode; at++) {
                    const artifacts = [...Array(copiesPerRunner).keys()].map(copy =>
                        sampleArtifactKey((node * copiesPerRunner + copy + Math.floor(round / 30)) % models)
                    );
                    context.reports.set(`runner-${node}-${at}`, sampleReport(artifacts, round));
                }
                publishers[node]!.publish();
                if ((round + node) % secondsPerExchange === 0) {
                    exchange(context, pick(contexts.filter(other => other !== context), random)!, true);
                }
                if ((round + node) % (nearPerFar * secondsPerExchange) === 0) {
                    // The peer in another zone costs as much as one that has the same summaries of zones.
                    exchange(context, pick(contexts.filter(other => other !== context), random)!, false);
                }
                context.fleet.refresh();
            });
            const used = process.cpuUsage(before);
            cpu += used.user + used.system;
            clock.tick(1_000);
        }
    }
    finally {
        clock.uninstall();
    }
    return { nodes, bytes: bytes / rounds / nodes, cpu: cpu / rounds / nodes };
};

/** Digests of one zone among five: real publishers and stores, exchanges as function calls; HTTP headers are not counted. */
export const measureDigests = (): void => {
    const rows = [3, 6, 12, 24, 48].map(runNodes);
    printTable(
        `Digests, one zone of five, ${runnersPerNode} runners a node, 1 exchange in 2 s and node`,
        ["nodes of the zone", "bytes/s a node, in and out", "processor µs/s a node"],
        rows.map(row => [row.nodes, formatNumber(row.bytes), formatNumber(row.cpu)]),
    );
    const byteSlope = leastSquaresSlope(rows.map(row => [row.nodes, row.bytes]));
    const cpuSlope = leastSquaresSlope(rows.map(row => [row.nodes, row.cpu]));
    const last = rows.at(-1)!;
    console.log(`slope for each further node of the zone: ${formatNumber(byteSlope)} bytes/s and ${formatNumber(cpuSlope)} µs/s a node`);
    console.log(`worked out for 80 nodes: ${formatNumber(last.bytes + 32 * byteSlope)} bytes/s and ${formatNumber(last.cpu + 32 * cpuSlope)} µs/s a node`);
};

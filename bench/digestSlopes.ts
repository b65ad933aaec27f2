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
const modelCount = 1_400;
const otherZones = 4;
const runnersPerOtherZone = 182;
const rounds = 60;
const warmUpRounds = 30;
/** Exchanges inside the own zone for each exchange with another zone. */
const ownZoneExchangesPerOther = 5;
const exchangeIntervalSeconds = 2;

const createContext = (node: number, vms: readonly Vm[]): NodeContext => {
    const { context } = StandaloneNode.create(createStandaloneTestSettings(`entry-${node}`, "za"), {
        table: MemoryTable.create(),
        objects: { get: () => Promise.resolve(undefined), put: () => Promise.resolve() },
        vmList: { list: () => Promise.resolve(vms) },
        engines: () => raise(FailureKind.Internal, "this benchmark has no engines"),
        random: createRandom(node),
    });
    context.fleet.setVms(vms);
    return context;
};

/** Publishes the digests of the other zones: their reports in the first round only, their load every 30 s. */
const publishOtherZones = (node: NodeContext, round: number): void => {
    for (let zone = 0; zone < otherZones; zone++) {
        const origin = zoneOrigin(`z${zone}`);
        if (round === 0) {
            for (let runner = 0; runner < runnersPerOtherZone; runner++) {
                const artifacts = [...Array(copiesPerRunner).keys()].map(copy => sampleArtifactKey((runner * copiesPerRunner + copy) % modelCount));
                node.digests.publish(`${DigestName.Reports} runner-${zone}-${runner}`, { [`runner-${zone}-${runner}`]: sampleReport(artifacts, 1) }, origin);
            }
        }
        if (round % 30 === 0) {
            node.digests.publish(
                DigestName.Load,
                Object.fromEntries([...Array(runnersPerOtherZone).keys()].map(runner => [`runner-${zone}-${runner}`, [(round + runner) % 30, 0]])),
                origin,
            );
        }
    }
};

const jsonLength = (value: unknown): number => JSON.stringify(value).length;

const measureZone = (nodes: number) => {
    const random = createRandom(nodes);
    const vm = (id: string, kind: VmKind): Vm => ({ id, kind, state: VmState.Live, availabilityZone: "za", url: "http://10.0.0.1:8080", group: "d" });
    const vms = [...Array(nodes).keys()].flatMap(
        node => [vm(`entry-${node}`, VmKind.Node), ...[...Array(runnersPerNode).keys()].map(index => vm(`runner-${node}-${index}`, VmKind.Runner))],
    );
    const contexts = [...Array(nodes).keys()].map(node => createContext(node, vms));
    const publishers = contexts.map(context => DigestPublisher.create(context));
    const clock = FakeTimers.install({ now: Date.UTC(2026, 0, 1), toFake: ["Date", "performance"] });
    let bytes = 0;
    let cpuUs = 0;
    const exchange = (from: NodeContext, to: NodeContext, isSameZone: boolean) => {
        const acceptsOrigin = isSameZone ? undefined : isZoneOrigin;
        const summary = from.digests.summary(acceptsOrigin);
        const answer = to.digests.answer(summary, acceptsOrigin);
        from.digests.merge(answer.parts);
        const push = from.digests.newerThan(answer.summary, acceptsOrigin);
        to.digests.merge(push);
        // Each byte is counted both at its sender and at its receiver.
        bytes += 2 * (jsonLength(summary) + jsonLength(answer) + jsonLength(push));
    };
    try {
        for (let round = 0; round < warmUpRounds + rounds; round++) {
            if (round === warmUpRounds) {
                bytes = cpuUs = 0;
            }
            const before = process.cpuUsage();
            publishOtherZones(contexts[round % nodes]!, round);
            contexts.forEach((context, node) => {
                for (let request = 0; request < requestsPerSecond; request++) {
                    // Demand falls with the popularity rank, as in most model catalogues.
                    context.demand.count(sampleArtifactKey(Math.floor(modelCount ** random()) - 1));
                }
                for (let index = 0; index < runnersPerNode; index++) {
                    const artifacts = [...Array(copiesPerRunner).keys()].map(copy =>
                        sampleArtifactKey((node * copiesPerRunner + copy + Math.floor(round / 30)) % modelCount)
                    );
                    context.reports.set(`runner-${node}-${index}`, sampleReport(artifacts, round));
                }
                publishers[node]!.publish();
                if ((round + node) % exchangeIntervalSeconds === 0) {
                    exchange(context, pick(contexts.filter(other => other !== context), random)!, true);
                }
                if ((round + node) % (ownZoneExchangesPerOther * exchangeIntervalSeconds) === 0) {
                    // A peer of the own zone replaces one of another zone: the exchange costs the same if both have the same zone digests.
                    exchange(context, pick(contexts.filter(other => other !== context), random)!, false);
                }
                context.fleet.refresh();
            });
            const used = process.cpuUsage(before);
            cpuUs += used.user + used.system;
            clock.tick(1_000);
        }
    }
    finally {
        clock.uninstall();
    }
    return { nodes, bytes: bytes / rounds / nodes, cpuUs: cpuUs / rounds / nodes };
};

/** Measures the digests of one zone of five with real publishers and stores; exchanges are function calls, so HTTP headers are not counted. */
export const measureDigests = (): void => {
    const rows = [3, 6, 12, 24, 48].map(measureZone);
    printTable(
        `Digests, one zone of five, ${runnersPerNode} runners a node, 1 exchange in 2 s and node`,
        ["nodes of the zone", "bytes/s a node, in and out", "CPU µs/s a node"],
        rows.map(row => [row.nodes, formatNumber(row.bytes), formatNumber(row.cpuUs)]),
    );
    const byteSlope = leastSquaresSlope(rows.map(row => [row.nodes, row.bytes]));
    const cpuSlope = leastSquaresSlope(rows.map(row => [row.nodes, row.cpuUs]));
    const last = rows.at(-1)!;
    console.log(`slope for each further node of the zone: ${formatNumber(byteSlope)} bytes/s and ${formatNumber(cpuSlope)} µs/s a node`);
    console.log(`extrapolated to 80 nodes: ${formatNumber(last.bytes + 32 * byteSlope)} bytes/s and ${formatNumber(last.cpuUs + 32 * cpuSlope)} µs/s a node`);
};

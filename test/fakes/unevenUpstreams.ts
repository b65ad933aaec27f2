import type { UpstreamCandidate } from "../../src/core/chooseUpstream";
import { chooseUpstream } from "../../src/core/chooseUpstream";
import { UpstreamTraffic } from "../../src/core/upstreamTraffic";
import { defaultCrossZoneMsPerMb, ZoneSpill } from "../../src/core/zoneSpill";
import type { UpstreamServer } from "../../src/types/upstreamServer";
import { UpstreamState } from "../../src/types/upstreamServer";
import type { Random } from "../../src/utils/random";
import { createRandom } from "../../src/utils/random";
import { SimulatedTimers } from "./simulatedTimers";

/** Parameters of a simulation of nodes that choose among upstreams with stale figures. */
export interface UnevenUpstreamsSpec {
    readonly nodes: number;
    readonly upstreams: number;
    readonly slots: number;
    readonly usualMs: number;
    readonly requestsPerS: number;
    readonly seconds: number;
    readonly seed: number;
    /** Whether upstreams report their pace. */
    readonly reportsPace: boolean;
    /** Whether nodes draw; without it, they choose the lowest cost. */
    readonly draws: boolean;
    /** Bounds of the slowly changing part of a pace; the same value twice for even upstreams. */
    readonly paceRange: readonly [number, number];
    /** Upstreams in each zone, with as many nodes in one as in another; all in one zone if it is missing. */
    readonly zones?: Readonly<Record<string, number>>;
    /** Whether nodes decide which requests leave their zones; without it, they leave wherever they are predicted to be answered first. */
    readonly spills?: boolean;
    readonly latencyObjectiveMs?: number;
    readonly requestBytes?: number;
    readonly msPerMb?: number;
    /** Time after which the nodes no longer tell each other their loads. */
    readonly cutAtMs?: number;
}

/** What the callers of one zone experienced. */
export interface ZoneResult {
    readonly meanMs: number;
    readonly p95Ms: number;
    /** Share of the requests that left the zone. */
    readonly left: number;
    /** Standard deviation of that share between intervals of half a second. */
    readonly leftDeviation: number;
}

/** What callers and upstreams experienced. */
export interface UnevenUpstreamsResult {
    readonly meanMs: number;
    readonly p95Ms: number;
    /** Largest share of the requests of one window that the same upstream received, averaged over the windows. */
    readonly topShare: number;
    /** Requests of the busiest upstream relative to the mean. */
    readonly busiest: number;
    /** By the zone of the callers. */
    readonly byZone: Readonly<Record<string, ZoneResult>>;
}

/** How often the nodes tell each other their loads. */
const exchangeMs = 400;
const windowMs = 100;
/** The pace of a machine: a level that changes every few seconds and a part that changes ten times a second. */
const levelMs = 3_000;
/** Time that a request loses on the way to another zone and back. */
const crossZoneMs = 3;
const intervalMs = 500;
const defaultObjectiveMs = 600;
const warmUpMs = 2_000;
const jitterMs = 100;
const jitterRange = 0.25;

interface Job {
    readonly node: number;
    readonly delayMs: number;
    readonly startedAt: number;
}

interface SimulatedUpstream {
    readonly server: UpstreamServer;
    readonly queue: Job[];
    running: number;
    level: number;
    pace: number;
    received: number;
}

/** Plays nodes that send plain requests to upstreams whose pace changes, and returns what callers experienced. */
export const playUnevenUpstreams = (spec: UnevenUpstreamsSpec): UnevenUpstreamsResult => {
    const arrivals = createRandom(spec.seed);
    const paces = createRandom(spec.seed + 1);
    const draws: Random | undefined = spec.draws ? createRandom(spec.seed + 2) : undefined;
    const timers = new SimulatedTimers();
    let now = 0;
    const zones = Object.entries(spec.zones ?? { a: spec.upstreams });
    const upstreamZones = zones.flatMap(([zone, count]) => Array<string>(count).fill(zone));
    const nodeZones = [...Array(spec.nodes).keys()].map(index => zones[index % zones.length]![0]);
    const spills = nodeZones.map(zone =>
        spec.spills
            ? ZoneSpill.create({
                zone: () => zone,
                msPerMb: () => spec.msPerMb ?? defaultCrossZoneMsPerMb,
                random: createRandom(spec.seed + 3),
                now: () => now,
            })
            : undefined
    );
    const request = { service: "s", latencyObjectiveMs: spec.latencyObjectiveMs ?? defaultObjectiveMs, bytes: spec.requestBytes ?? 0, isPassedOn: false };
    const upstreams: readonly SimulatedUpstream[] = upstreamZones.map((availabilityZone, index) => ({
        server: {
            id: `u${index}`,
            service: "s",
            address: "10.0.0.1:80",
            availabilityZone,
            slots: spec.slots,
            state: UpstreamState.Ready,
            models: [],
            inMemory: [],
            onDisk: [],
            bornAt: 1,
            acceptedOrders: 0,
        },
        queue: [],
        running: 0,
        level: 1,
        pace: 1,
        received: 0,
    }));
    const candidates: readonly (readonly UpstreamCandidate[])[] = [...Array(spec.nodes).keys()].map(() =>
        upstreams.map(({ server }) => ({ server, traffic: UpstreamTraffic.create(() => now), prefillTokens: 0, tokensPerEvent: 1, timeFactor: 1 }))
    );
    const times: number[] = [];
    const zoneTimes = new Map(zones.map(([zone]) => [zone, [] as number[]]));
    const leaving = new Map(zones.map(([zone]) => [zone, new Map<number, [left: number, all: number]>()]));
    const windowCounts = new Map<number, number[]>();
    const [low, high] = spec.paceRange;
    const every = (ms: number, run: () => void): void => {
        const tick = (): void => {
            run();
            timers.add(now + ms, tick);
        };
        timers.add(now, tick);
    };
    every(levelMs, () => upstreams.forEach(upstream => upstream.level = low * (high / low) ** paces()));
    every(jitterMs, () => upstreams.forEach(upstream => upstream.pace = upstream.level * (low === high ? 1 : 1 + jitterRange * (2 * paces() - 1))));
    every(exchangeMs, () =>
        now < (spec.cutAtMs ?? Number.POSITIVE_INFINITY) && [...upstreams.keys()].forEach(index => {
            const total = candidates.reduce((sum, own) => sum + own[index]!.traffic.inFlight, 0);
            candidates.forEach(own => own[index]!.traffic.onPeerLoad(0, total - own[index]!.traffic.inFlight));
        }));
    const start = (index: number): void => {
        const upstream = upstreams[index]!;
        while (upstream.running < spec.slots && upstream.queue.length > 0) {
            const job = upstream.queue.shift()!;
            upstream.running++;
            timers.add(now + spec.usualMs * upstream.pace, () => {
                upstream.running--;
                const { traffic } = candidates[job.node]![index]!;
                traffic.inFlight--;
                const pace = spec.reportsPace ? upstream.pace : undefined;
                traffic.onReportedLoad({ running: upstream.running, waiting: upstream.queue.length, slots: spec.slots, pace });
                traffic.onFirstByte(now - job.startedAt, pace);
                const tookMs = now - job.startedAt + job.delayMs;
                times.push(tookMs);
                if (job.startedAt >= warmUpMs) {
                    zoneTimes.get(nodeZones[job.node]!)!.push(tookMs);
                }
                start(index);
            });
        }
    };
    const arrive = (): void => {
        const node = Math.floor(arrivals() * spec.nodes);
        const choice = chooseUpstream(candidates[node]!, nodeZones[node]!, draws, spills[node] && { request, spill: spills[node] })!;
        const index = candidates[node]!.indexOf(choice.candidate);
        choice.candidate.traffic.inFlight++;
        upstreams[index]!.received++;
        const window = Math.floor(now / windowMs);
        const counts = windowCounts.get(window) ?? Array<number>(spec.upstreams).fill(0);
        counts[index]!++;
        windowCounts.set(window, counts);
        const hasLeft = upstreamZones[index] !== nodeZones[node];
        const interval = Math.floor(now / intervalMs);
        const [left, all] = leaving.get(nodeZones[node]!)!.get(interval) ?? [0, 0];
        leaving.get(nodeZones[node]!)!.set(interval, [left + (hasLeft ? 1 : 0), all + 1]);
        upstreams[index]!.queue.push({ node, startedAt: now, delayMs: hasLeft ? crossZoneMs : 0 });
        start(index);
        timers.add(now - Math.log(1 - arrivals()) * 1_000 / spec.requestsPerS, arrive);
    };
    timers.add(0, arrive);
    for (let timer = timers.next(); timer && timer.at < spec.seconds * 1_000; timer = timers.next()) {
        now = timer.at;
        timer.run();
    }
    const zoneResultOf = (zone: string): ZoneResult => {
        const ms = zoneTimes.get(zone)!.sort((first, second) => first - second);
        const shares = [...leaving.get(zone)!].filter(([interval]) => interval * intervalMs >= warmUpMs).map(([, [left, all]]) => left / all);
        const left = shares.reduce((sum, share) => sum + share, 0) / shares.length;
        const variance = shares.reduce((sum, share) => sum + (share - left) ** 2, 0) / shares.length;
        return {
            meanMs: ms.reduce((sum, value) => sum + value, 0) / ms.length,
            p95Ms: ms[Math.floor(0.95 * ms.length)]!,
            left,
            leftDeviation: Math.sqrt(variance),
        };
    };
    times.sort((first, second) => first - second);
    const shares = [...windowCounts.values()].map(counts => Math.max(...counts) / counts.reduce((sum, count) => sum + count, 0));
    const received = upstreams.map(upstream => upstream.received);
    return {
        meanMs: times.reduce((sum, ms) => sum + ms, 0) / times.length,
        p95Ms: times[Math.floor(0.95 * times.length)]!,
        topShare: shares.reduce((sum, share) => sum + share, 0) / shares.length,
        busiest: Math.max(...received) / (received.reduce((sum, count) => sum + count, 0) / received.length),
        byZone: Object.fromEntries(zones.map(([zone]) => [zone, zoneResultOf(zone)])),
    };
};

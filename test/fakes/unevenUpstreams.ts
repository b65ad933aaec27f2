import type { UpstreamCandidate } from "../../src/core/chooseUpstream";
import { chooseUpstream } from "../../src/core/chooseUpstream";
import { UpstreamTraffic } from "../../src/core/upstreamTraffic";
import type { UpstreamServer } from "../../src/types/upstreamServer";
import { UpstreamState } from "../../src/types/upstreamServer";
import type { Random } from "../../src/utils/random";
import { createRandom } from "../../src/utils/random";

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
}

/** What callers and upstreams experienced. */
export interface UnevenUpstreamsResult {
    readonly meanMs: number;
    readonly p95Ms: number;
    /** Largest share of the requests of one window that the same upstream received, averaged over the windows. */
    readonly topShare: number;
    /** Requests of the busiest upstream relative to the mean. */
    readonly busiest: number;
}

/** How often the nodes tell each other their loads. */
const exchangeMs = 400;
const windowMs = 100;
/** The pace of a machine: a level that changes every few seconds and a part that changes ten times a second. */
const levelMs = 3_000;
const jitterMs = 100;
const jitterRange = 0.25;

interface Job {
    readonly node: number;
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

interface Timer {
    readonly at: number;
    readonly run: () => void;
}

/** Timers in the order in which they are due. */
class Timers {
    private readonly heap: Timer[] = [];

    add(at: number, run: () => void): void {
        const { heap } = this;
        heap.push({ at, run });
        for (let index = heap.length - 1; index > 0;) {
            const parent = (index - 1) >> 1;
            if (heap[parent]!.at <= heap[index]!.at) {
                break;
            }
            [heap[parent], heap[index]] = [heap[index]!, heap[parent]!];
            index = parent;
        }
    }

    next(): Timer | undefined {
        const { heap } = this;
        const first = heap[0];
        const last = heap.pop();
        if (last && heap.length > 0) {
            heap[0] = last;
            for (let index = 0;;) {
                const [left, right] = [2 * index + 1, 2 * index + 2];
                const child = right < heap.length && heap[right]!.at < heap[left]!.at ? right : left;
                if (child >= heap.length || heap[index]!.at <= heap[child]!.at) {
                    break;
                }
                [heap[child], heap[index]] = [heap[index]!, heap[child]!];
                index = child;
            }
        }
        return first;
    }
}

/** Plays nodes that send plain requests to upstreams whose pace changes, and returns what callers experienced. */
export const playUnevenUpstreams = (spec: UnevenUpstreamsSpec): UnevenUpstreamsResult => {
    const arrivals = createRandom(spec.seed);
    const paces = createRandom(spec.seed + 1);
    const draws: Random | undefined = spec.draws ? createRandom(spec.seed + 2) : undefined;
    const timers = new Timers();
    let now = 0;
    const upstreams: readonly SimulatedUpstream[] = [...Array(spec.upstreams).keys()].map(index => ({
        server: {
            id: `u${index}`,
            service: "s",
            address: "10.0.0.1:80",
            availabilityZone: "a",
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
        [...upstreams.keys()].forEach(index => {
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
                times.push(now - job.startedAt);
                start(index);
            });
        }
    };
    const arrive = (): void => {
        const node = Math.floor(arrivals() * spec.nodes);
        const choice = chooseUpstream(candidates[node]!, "a", draws)!;
        const index = candidates[node]!.indexOf(choice.candidate);
        choice.candidate.traffic.inFlight++;
        upstreams[index]!.received++;
        const window = Math.floor(now / windowMs);
        const counts = windowCounts.get(window) ?? Array<number>(spec.upstreams).fill(0);
        counts[index]!++;
        windowCounts.set(window, counts);
        upstreams[index]!.queue.push({ node, startedAt: now });
        start(index);
        timers.add(now - Math.log(1 - arrivals()) * 1_000 / spec.requestsPerS, arrive);
    };
    timers.add(0, arrive);
    for (let timer = timers.next(); timer && timer.at < spec.seconds * 1_000; timer = timers.next()) {
        now = timer.at;
        timer.run();
    }
    times.sort((first, second) => first - second);
    const shares = [...windowCounts.values()].map(counts => Math.max(...counts) / counts.reduce((sum, count) => sum + count, 0));
    const received = upstreams.map(upstream => upstream.received);
    return {
        meanMs: times.reduce((sum, ms) => sum + ms, 0) / times.length,
        p95Ms: times[Math.floor(0.95 * times.length)]!,
        topShare: shares.reduce((sum, share) => sum + share, 0) / shares.length,
        busiest: Math.max(...received) / (received.reduce((sum, count) => sum + count, 0) / received.length),
    };
};

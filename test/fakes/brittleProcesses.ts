import { sleep } from "../../src/utils/time";
import type { BrittleFall, BrittleTime } from "./brittleJudge";
import { BrittleUpstream } from "./brittleUpstream";
import { createMixedRandom } from "./mixedRandom";
import { PlatformProcess } from "./platformProcess";
import type { SteadyCall } from "./steadyCallers";
import { runSteadyLoad } from "./steadyCallers";

const service = "desk";
const nodeCount = 3;
const graceS = 8;
const attempts = 2;
const deadlineMs = 2_000;
const routeTimeoutMs = 4_000;
const slots = 4;
const queue = 12;
const brittleQueue = 2;
const meanWorkMs = 200;
const downMs = 3_000;
/** Time until the row of an upstream that fell over has lapsed. */
const rowLapseMs = 700;
const kinds = ["idempotent", "non_idempotent"] as const;

/** Nodes as processes, in front of a busy service whose upstreams can be brittle. */
export class BrittleProcesses {
    readonly falls: BrittleFall[] = [];
    readonly upstreams: BrittleUpstream[] = [];

    private constructor(private readonly nodes: readonly PlatformProcess[]) {}

    /** Starts the nodes and upstreams. */
    static async start(upstreamCount: number, contactMs: number, seed: number): Promise<BrittleProcesses> {
        const config = {
            routes: kinds.map(kind => ({
                name: kind,
                host: "shop.example",
                prefix: `/${kind}/`,
                routeKind: kind,
                timeoutMs: routeTimeoutMs,
                service,
                attempts,
                resumable: false,
            })),
            services: [{ name: service, healthPath: "/h", maxConns: 500 }],
        };
        const nodes: PlatformProcess[] = [];
        for (let index = 0; index < nodeCount; index++) {
            nodes.push(await PlatformProcess.start(graceS, config, {}, nodes[0]));
        }
        const fleet = new BrittleProcesses(nodes);
        for (let index = 0; index < upstreamCount; index++) {
            const random = createMixedRandom(seed + index);
            fleet.upstreams.push(
                await BrittleUpstream.create(`u${index}`, {
                    service,
                    slots,
                    queue,
                    brittleQueue,
                    meanWorkMs,
                    downMs,
                    contactMs,
                    random,
                    onBorn: upstream => nodes[0]!.putUpstream(upstream.id, upstream.row),
                    onFallen: (upstream, fall) => fleet.onFallen(upstream.id, fall),
                }),
            );
        }
        return fleet;
    }

    /** Requests that the slots of all upstreams bear in a second. */
    get capacityPerS(): number {
        return this.upstreams.length * slots * 1_000 / meanWorkMs;
    }

    /** Sends requests to all nodes alike until the signal aborts. */
    async runCallers(perSecond: number, seed: number, signal: AbortSignal): Promise<readonly SteadyCall[]> {
        const calls = await Promise.all(this.nodes.map(({ front }, index) =>
            runSteadyLoad({
                front,
                name: `s${seed}-c${index}`,
                perSecond: perSecond / nodeCount,
                paths: kinds.map(kind => `/${kind}/x`),
                deadlineMs,
                random: createMixedRandom(seed * 100 + index),
                signal,
            })
        ));
        return calls.flat();
    }

    /** Lets all upstreams be brittle for a time. */
    async beBrittle(allowedPerS: number, ms: number): Promise<BrittleTime> {
        const from = performance.now();
        this.upstreams.forEach(upstream => upstream.setBrittle(allowedPerS));
        await sleep(ms);
        this.upstreams.forEach(upstream => upstream.setBrittle(undefined));
        return { service, from, to: performance.now(), upstreams: this.upstreams.length };
    }

    /** How often upstreams began to run a request. */
    runsOf(id: string): number {
        return this.upstreams.reduce((sum, { runs }) => sum + (runs.get(id) ?? 0), 0);
    }

    close(): void {
        this.upstreams.forEach(upstream => upstream.close());
        this.nodes.slice(1).forEach(node => node.process.kill("SIGKILL"));
        this.nodes[0]?.close();
    }

    private onFallen(id: string, fall: BrittleFall): void {
        this.falls.push(fall);
        setTimeout(() => this.nodes[0]!.store.put({ table: "servers", part: "", key: id }, undefined), rowLapseMs).unref();
    }
}

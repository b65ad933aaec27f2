import type { EngineReport } from "../src/types/report";
import { ResidencyState } from "../src/types/report";

/** Latencies of an idle simulated engine. */
const firstTokenMs = 70;
const betweenTokensMs = 18;
/** Relative increase of the latencies when all slots are in use. */
const batchSlowdown = 1.2;

/** A request of a workload. */
export interface SimulatedRequest {
    readonly at: number;
    readonly zone: string;
    readonly model: number;
    readonly adapter: number | undefined;
    readonly tokens: number;
    readonly promptMs: number;
}

interface ArtifactCopy {
    readonly memoryMiB: number;
    readyAt: number;
    active: number;
    lastUsedAt: number;
}

/** A simulated engine with slots, memory and a queue, without a network. */
export class PolicySimulationEngine {
    readonly copies = new Map<string, ArtifactCopy>();
    readonly queue: (() => void)[] = [];
    active = 0;
    isLost = false;

    constructor(readonly id: string, readonly zone: string, readonly deployment: string, readonly slots: number, readonly memoryMiB: number) {}

    /** Memory that no copy occupies. */
    get freeMiB(): number {
        return this.memoryMiB - [...this.copies.values()].reduce((sum, { memoryMiB }) => sum + memoryMiB, 0);
    }

    /** Whether a copy of the artifact is loaded and can be used now. */
    isResident(artifact: string, now: number): boolean {
        return (this.copies.get(artifact)?.readyAt ?? Infinity) <= now;
    }

    /** Latency of a request that starts now: to the first token, and between tokens. */
    latencyOf({ promptMs }: SimulatedRequest): { readonly first: number; readonly between: number; } {
        const utilization = this.active / this.slots;
        return { first: (firstTokenMs + promptMs) * (1 + utilization * batchSlowdown), between: betweenTokensMs * (1 + utilization * batchSlowdown) };
    }

    report(now: number, sequence: number): EngineReport {
        return {
            incarnation: "1",
            sequence,
            memoryMiB: this.memoryMiB,
            slots: this.slots,
            active: this.active,
            queued: this.queue.length,
            fence: 0,
            leaving: false,
            residencies: [...this.copies].map(([artifact, { memoryMiB, readyAt, active }]) => ({
                artifact,
                memoryMiB,
                active,
                state: readyAt <= now ? ResidencyState.Resident : ResidencyState.Loading,
            })),
            openOrders: [],
        };
    }
}

import type { EngineReport } from "../src/types/report";
import { ResidencyState } from "../src/types/report";

/** Times of a stand-in engine. */
const firstTokenMs = 70;
const betweenTokensMs = 18;
/** How much a full batch slows each token. */
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

interface Held {
    readonly memoryMiB: number;
    readyAt: number;
    active: number;
    usedAt: number;
}

/** An engine with slots, memory and a queue; it knows no network. */
export class PolicySimulationEngine {
    readonly copies = new Map<string, Held>();
    readonly queue: (() => void)[] = [];
    active = 0;
    isLost = false;

    constructor(readonly id: string, readonly zone: string, readonly deployment: string, readonly slots: number, readonly memoryMiB: number) {}

    /** Memory that is not taken. */
    get freeMiB(): number {
        return this.memoryMiB - [...this.copies.values()].reduce((sum, { memoryMiB }) => sum + memoryMiB, 0);
    }

    /** Whether an artifact can be used now. */
    isResident(artifact: string, now: number): boolean {
        return (this.copies.get(artifact)?.readyAt ?? Infinity) <= now;
    }

    /** Times of a request that starts now: to the first token, and between tokens. */
    latencyOf({ promptMs }: SimulatedRequest): { readonly first: number; readonly between: number; } {
        const load = this.active / this.slots;
        return { first: (firstTokenMs + promptMs) * (1 + load * batchSlowdown), between: betweenTokensMs * (1 + load * batchSlowdown) };
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

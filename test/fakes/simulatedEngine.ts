import type { EngineOrder } from "../../src/types/order";
import { OrderAnswer, OrderKind } from "../../src/types/order";
import type { EngineReport, Residency } from "../../src/types/report";
import { ResidencyState } from "../../src/types/report";

/** Capacity and load times of a simulated engine. */
export interface EngineSetup {
    readonly memoryMiB: number;
    readonly slots: number;
    readonly checksFence: boolean;
    readonly modelLoadMs: number;
    readonly adapterLoadMs: number;
}

interface ResidencyEntry {
    residency: { artifact: string; memoryMiB: number; state: ResidencyState; active: number; };
}

/**
 * Memory and orders of an engine of the product's own engine protocol. Records a violation when memory is overcommitted or a copy is
 * unloaded while requests use it.
 */
export class SimulatedEngine {
    readonly violations: string[] = [];
    active = 0;
    leaving = false;
    loads = 0;
    unloads = 0;
    fence = 0;
    incarnation = "1";
    private readonly residencyEntries = new Map<string, ResidencyEntry>();
    private readonly pendingOrders = new Set<string>();
    private sequence = 0;

    private constructor(readonly setup: EngineSetup) {}

    static create(setup: EngineSetup): SimulatedEngine {
        return new SimulatedEngine(setup);
    }

    /** Whether all of these artifacts are resident. */
    hasResident(...artifacts: readonly string[]): boolean {
        return artifacts.every(artifact => this.residencyEntries.get(artifact)?.residency.state === ResidencyState.Resident);
    }

    /** Adds (1) or removes (-1) a request that uses these artifacts. */
    adjustActiveRequests(artifacts: readonly string[], step: 1 | -1): void {
        this.active += step;
        artifacts.forEach(artifact => {
            const entry = this.residencyEntries.get(artifact);
            if (entry) {
                entry.residency.active += step;
            }
        });
    }

    report(): EngineReport {
        const residencies: Residency[] = [...this.residencyEntries.values()].map(entry => ({ ...entry.residency }));
        return {
            incarnation: this.incarnation,
            sequence: ++this.sequence,
            memoryMiB: this.setup.memoryMiB,
            slots: this.setup.slots,
            active: Math.min(this.active, this.setup.slots),
            queued: Math.max(0, this.active - this.setup.slots),
            fence: this.setup.checksFence ? this.fence : 0,
            leaving: this.leaving,
            residencies,
            openOrders: [...this.pendingOrders],
        };
    }

    /** Carries an order out unless its fence is stale. A load completes after the artifact's load time, an unload at once. */
    acceptOrder(order: EngineOrder): OrderAnswer {
        if (this.setup.checksFence && order.fence < this.fence) {
            return OrderAnswer.StaleFence;
        }
        this.fence = Math.max(this.fence, order.fence);
        if (order.kind === OrderKind.Unload) {
            this.unload(order.artifact);
        }
        else if (!this.residencyEntries.has(order.artifact)) {
            this.load(order);
        }
        return OrderAnswer.Accepted;
    }

    /** Begins a new incarnation without any state, as an engine does that restarts. */
    restart(): void {
        this.incarnation = String(Number(this.incarnation) + 1);
        this.residencyEntries.clear();
        this.pendingOrders.clear();
        this.fence = 0;
        this.sequence = 0;
        this.active = 0;
    }

    private unload(artifact: string): void {
        const entry = this.residencyEntries.get(artifact);
        if (entry && entry.residency.active > 0) {
            this.violations.push(`${artifact} unloaded while ${entry.residency.active} requests used it`);
        }
        this.unloads += entry ? 1 : 0;
        this.residencyEntries.delete(artifact);
    }

    private load({ orderId, artifact, memoryMiB }: EngineOrder): void {
        const residency = { artifact, memoryMiB, state: ResidencyState.Loading, active: 0 };
        const entry = { residency };
        this.residencyEntries.set(artifact, entry);
        const usedMiB = [...this.residencyEntries.values()].reduce((sum, other) => sum + other.residency.memoryMiB, 0);
        if (usedMiB > this.setup.memoryMiB) {
            this.violations.push(`memory overcommitted: ${usedMiB} of ${this.setup.memoryMiB} MiB`);
        }
        this.loads++;
        this.pendingOrders.add(orderId);
        setTimeout(() => {
            this.pendingOrders.delete(orderId);
            residency.state = ResidencyState.Resident;
        }, artifact.startsWith("adapter:") ? this.setup.adapterLoadMs : this.setup.modelLoadMs);
    }
}

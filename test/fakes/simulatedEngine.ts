import type { EngineOrder } from "../../src/types/order";
import { OrderAnswer, OrderKind } from "../../src/types/order";
import type { EngineReport, Residency } from "../../src/types/report";
import { ResidencyState } from "../../src/types/report";

/** Setup of a stand-in engine. */
export interface EngineSetup {
    readonly memoryMiB: number;
    readonly slots: number;
    readonly checksFence: boolean;
    readonly modelLoadMs: number;
    readonly adapterLoadMs: number;
}

interface Held {
    residency: { artifact: string; memoryMiB: number; state: ResidencyState; active: number; };
}

/** Memory and orders of a stand-in engine; a witness of overcommitted memory and of copies unloaded under a request. */
export class SimulatedEngine {
    readonly violations: string[] = [];
    active = 0;
    leaving = false;
    loads = 0;
    unloads = 0;
    fence = 0;
    incarnation = "1";
    private readonly held = new Map<string, Held>();
    private readonly open = new Set<string>();
    private sequence = 0;

    private constructor(readonly setup: EngineSetup) {}

    static create(setup: EngineSetup): SimulatedEngine {
        return new SimulatedEngine(setup);
    }

    /** Whether all artifacts are resident. */
    hasResident(...artifacts: readonly string[]): boolean {
        return artifacts.every(artifact => this.held.get(artifact)?.residency.state === ResidencyState.Resident);
    }

    /** Counts a request in (1) or out (-1). */
    adjustActiveRequests(artifacts: readonly string[], step: 1 | -1): void {
        this.active += step;
        artifacts.forEach(artifact => {
            const held = this.held.get(artifact);
            if (held) {
                held.residency.active += step;
            }
        });
    }

    report(): EngineReport {
        const residencies: Residency[] = [...this.held.values()].map(held => ({ ...held.residency }));
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
            openOrders: [...this.open],
        };
    }

    /** Takes an order; the load or unload ends after a while. */
    acceptOrder(order: EngineOrder): OrderAnswer {
        if (this.setup.checksFence && order.fence < this.fence) {
            return OrderAnswer.StaleFence;
        }
        this.fence = Math.max(this.fence, order.fence);
        if (order.kind === OrderKind.Unload) {
            this.unload(order.artifact);
        }
        else if (!this.held.has(order.artifact)) {
            this.load(order);
        }
        return OrderAnswer.Accepted;
    }

    /** Loses everything, as a restarted engine does. */
    restart(): void {
        this.incarnation = String(Number(this.incarnation) + 1);
        this.held.clear();
        this.open.clear();
        this.fence = 0;
        this.sequence = 0;
        this.active = 0;
    }

    private unload(artifact: string): void {
        const held = this.held.get(artifact);
        if (held && held.residency.active > 0) {
            this.violations.push(`${artifact} unloaded under ${held.residency.active} requests`);
        }
        this.unloads += held ? 1 : 0;
        this.held.delete(artifact);
    }

    private load({ orderId, artifact, memoryMiB }: EngineOrder): void {
        const residency = { artifact, memoryMiB, state: ResidencyState.Loading, active: 0 };
        const held = { residency };
        this.held.set(artifact, held);
        const used = [...this.held.values()].reduce((sum, other) => sum + other.residency.memoryMiB, 0);
        if (used > this.setup.memoryMiB) {
            this.violations.push(`memory overcommitted: ${used} of ${this.setup.memoryMiB} MiB`);
        }
        this.loads++;
        this.open.add(orderId);
        setTimeout(() => {
            this.open.delete(orderId);
            residency.state = ResidencyState.Resident;
        }, artifact.startsWith("adapter:") ? this.setup.adapterLoadMs : this.setup.modelLoadMs);
    }
}

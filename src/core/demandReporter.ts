import type { RequestedWork } from "../types/placement";
import { getOrCreate } from "../utils/maps";
import { ModelDemand } from "./modelDemand";

/** What a node tells the controller of its callers' demand: what is new, and everything to a controller that has just taken over. */
export class DemandReporter {
    private readonly demand = ModelDemand.create();
    private news = new Map<string, { workMs: number; lastAt: number; }>();
    private next: readonly RequestedWork[] = [];
    /** Epoch of the controller that knows this node's demand. */
    private knownBy: number | undefined;

    private constructor() {}

    /** Makes a report of no demand. */
    static create(): DemandReporter {
        return new DemandReporter();
    }

    /** Counts work that a request asks of an artifact's runners. */
    count(artifact: string, workMs: number): void {
        this.demand.count(artifact, workMs);
        const entry = getOrCreate(this.news, artifact, () => ({ workMs: 0, lastAt: 0 }));
        entry.workMs += workMs;
        entry.lastAt = performance.now();
    }

    /** What to tell the controller now. */
    take(): readonly RequestedWork[] {
        const now = performance.now();
        const news = [...this.news].map(([artifact, { workMs, lastAt }]) => ({ artifact, workMs, idleMs: Math.round(now - lastAt) }));
        const told = [...this.next, ...news];
        this.news.clear();
        this.next = [];
        return told;
    }

    /** Notes which controller was told something; a new one is told the rest with the next report. */
    onDelivered(epoch: number, told: readonly RequestedWork[]): void {
        if (epoch === this.knownBy) {
            return;
        }
        this.knownBy = epoch;
        const known = new Map(told.map(({ artifact, workMs }) => [artifact, workMs]));
        this.next = this.demand.snapshot().map(work => ({ ...work, workMs: Math.max(0, work.workMs - (known.get(work.artifact) ?? 0)) }));
        // The rest holds what was asked for since.
        this.news.clear();
    }
}

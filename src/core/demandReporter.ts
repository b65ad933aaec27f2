import type { RequestedWork } from "../types/placement";
import { getOrCreate } from "../utils/maps";
import { ModelDemand } from "./modelDemand";

/** Builds a node's reports of its callers' demand: the increase since the last report and, after a takeover, the whole demand for the new controller. */
export class DemandReporter {
    private readonly demand = ModelDemand.create();
    private unreported = new Map<string, { workMs: number; lastAt: number; }>();
    /** The rest of the whole demand, which a new controller has not received yet. */
    private resync: readonly RequestedWork[] = [];
    /** Epoch of the controller that received this node's last report. */
    private syncedEpoch: number | undefined;

    private constructor() {}

    static create(): DemandReporter {
        return new DemandReporter();
    }

    /** Counts work that a request causes at an artifact's runners. */
    count(artifact: string, workMs: number): void {
        this.demand.count(artifact, workMs);
        const entry = getOrCreate(this.unreported, artifact, () => ({ workMs: 0, lastAt: 0 }));
        entry.workMs += workMs;
        entry.lastAt = performance.now();
    }

    /** Returns the work to report now and starts the next report. */
    take(): readonly RequestedWork[] {
        const now = performance.now();
        const unreported = [...this.unreported].map(([artifact, { workMs, lastAt }]) => ({ artifact, workMs, idleMs: Math.round(now - lastAt) }));
        const reported = [...this.resync, ...unreported];
        this.unreported.clear();
        this.resync = [];
        return reported;
    }

    /** Records which controller received a report; a new one gets the rest of the demand with the next report. */
    onDelivered(epoch: number, reported: readonly RequestedWork[]): void {
        if (epoch === this.syncedEpoch) {
            return;
        }
        this.syncedEpoch = epoch;
        const reportedWork = new Map(reported.map(({ artifact, workMs }) => [artifact, workMs]));
        this.resync = this.demand.snapshot().map(work => ({ ...work, workMs: Math.max(0, work.workMs - (reportedWork.get(work.artifact) ?? 0)) }));
        // The rest already contains the work counted since that report.
        this.unreported.clear();
    }
}

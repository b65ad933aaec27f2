import { AwaitedCopies } from "../core/awaitedCopies";
import type { CopyPlanInputs } from "../core/copyPlanInputs";
import { CopyTurns } from "../core/copyTurns";
import { ModelDemand } from "../core/modelDemand";
import type { RunnerBound } from "../core/runnerBound";
import type { RunnerTracker } from "../core/runnerTracker";
import { VersionUse } from "../core/versionUse";
import type { Gateway } from "../forward/gateway";
import { EventId } from "../types/eventId";
import { modelOfArtifactKey } from "../types/modelRequest";
import type { PlacementRequest, RequestedWork } from "../types/placement";
import { RouteKind } from "../types/servingConfig";
import { emit } from "../utils/events";
import { getOrCreate } from "../utils/maps";

/** What the copy plan knows of callers' demand. */
type DemandInputs = Pick<CopyPlanInputs, "demand" | "awaitedModels" | "awaitedMs" | "needs">;

/** The demand for copies of models: work, requests that wait, and streams that may return to a software version. */
export class CopyDemand {
    readonly work = ModelDemand.create();
    private readonly awaited = AwaitedCopies.create();
    private readonly turns = CopyTurns.create();
    private readonly versionUses = new Map<string, VersionUse>();

    private constructor(private readonly gateway: Gateway) {}

    static create(gateway: Gateway): CopyDemand {
        return new CopyDemand(gateway);
    }

    /** Adds work that callers requested, by model or adapter. */
    count({ artifact, workMs, idleMs }: RequestedWork): void {
        this.work.count(modelOfArtifactKey(artifact), workMs, idleMs);
    }

    /** Records that a request waits for a model of which the runners that it may use have no copy. */
    await({ service, model }: PlacementRequest, bound: RunnerBound, trackers: readonly RunnerTracker[]): void {
        const isBound = !trackers.every(bound.admits);
        if (!isBound) {
            this.turns.add(service, model);
        }
        if (this.awaited.add(service, model, isBound ? bound : undefined) && isBound) {
            emit(EventId.CopyAwaitedAtVersion, { service, model, runners: bound.key, ready: trackers.filter(bound.admits).length });
        }
    }

    /** The demand at present, with the copies that the service's runners serve now taken into account. */
    inputsFor(service: string, trackers: readonly RunnerTracker[]): DemandInputs {
        const versionUse = getOrCreate(this.versionUses, service, () => VersionUse.create(() => this.streamLifetimeMs(service)));
        versionUse.observe(trackers, this.work);
        const awaitedMs = this.turns.awaitedMsOf(service, trackers);
        return {
            demand: this.work,
            awaitedModels: new Set([...this.awaited.modelsOf(service), ...awaitedMs.keys()]),
            awaitedMs,
            needs: [...this.awaited.needsOf(service), ...versionUse.needsAt(trackers)],
        };
    }

    /** Time for which callers may take up streams of a service; 0 if they may not. */
    private streamLifetimeMs(service: string): number {
        const { config, streamLifetimeMs } = this.gateway;
        const mayReturn = config?.routes.some(({ kind, isResumable, targets }) =>
            kind === RouteKind.Streaming && isResumable && targets.some(target => target.service === service)
        );
        return mayReturn ? streamLifetimeMs : 0;
    }
}

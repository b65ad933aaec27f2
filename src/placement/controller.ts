import { chooseAdapterPlacement } from "../core/chooseAdapterPlacement";
import type { ControllerLease } from "../core/controllerLease";
import { serves } from "../core/copies";
import { CopyPlan } from "../core/copyPlan";
import type { CopyStep } from "../core/copyStep";
import { earliestLoadMs } from "../core/earliestLoad";
import { toFailure } from "../core/failures";
import { LateLoads } from "../core/lateLoads";
import type { RunnerTracker } from "../core/runnerTracker";
import { estimatedUnloadMs } from "../core/unloadTime";
import { WeightStoreLimiter } from "../core/weightStoreLimiter";
import type { Gateway } from "../forward/gateway";
import type { LeaseYield } from "../types/controllerLease";
import { EventId } from "../types/eventId";
import { artifactKey } from "../types/modelRequest";
import type { AdapterChanges, PlacementAnswer, PlacementRequest, RequestedWork } from "../types/placement";
import type { RunnerControl } from "../types/runner";
import { RunnerOrderAnswer, RunnerOrderKind } from "../types/runner";
import type { EngineSpec } from "../types/servingConfig";
import { emit } from "../utils/events";
import { Adoption } from "./adoption";
import { CopyDemand } from "./copyDemand";
import { logTurn } from "./logTurn";
import { findOvertakenLoads } from "./overtakenLoads";
import { PlannedLoads } from "./plannedLoads";
import { roundGapMs, roundIntervalMs } from "./roundTimes";
import { dueReportIntervalMs, orderResendMs, RunnerManager } from "./runnerManager";
import { findUsableRunners } from "./usableRunners";

/** Estimated time until an adapter is loaded, including delivery of the order. */
const estimatedAdapterLoadMs = 10;
/** Maximum attempts to load an adapter before the node has to retry its request. */
const maxAdapterAttempts = 2;
/** Retry delay for a model that is neither loading nor planned. */
const placementRetryMs = 1_000;

/** Controls the runners of all engine services while this node holds the controller lease. */
export class Controller {
    private readonly demand: CopyDemand;
    private readonly plannedLoads = PlannedLoads.create();
    private readonly adoption = Adoption.create();
    private readonly manager: RunnerManager;
    private storeLimiter: WeightStoreLimiter;
    private activeEpoch = 0;
    /** When the next round may start, on the monotonic clock. */
    private nextRoundAt = Number.NEGATIVE_INFINITY;

    private constructor(private readonly gateway: Gateway, private readonly lease: ControllerLease, runners: RunnerControl, lateLoads: LateLoads) {
        this.manager = RunnerManager.create(gateway, lease, runners, lateLoads, () => void this.round());
        this.storeLimiter = WeightStoreLimiter.create(gateway.settings.loadWindowMs);
        this.demand = CopyDemand.create(gateway);
    }

    /** Creates a controller that is active only while the lease is held; the row of the lease keeps `lateLoads`. */
    static create(gateway: Gateway, lease: ControllerLease, runners: RunnerControl, lateLoads = LateLoads.create()): Controller {
        return new Controller(gateway, lease, runners, lateLoads);
    }

    /** Runs planning rounds until the signal aborts. */
    start(signal: AbortSignal): void {
        const timer = setInterval(() => void this.round(), roundIntervalMs);
        signal.addEventListener("abort", () => clearInterval(timer), { once: true });
    }

    /** Whether this node is the controller now. */
    get isActive(): boolean {
        return this.heldEpoch !== undefined;
    }

    /** Epoch of the lease while this node holds it, undefined otherwise. */
    get heldEpoch(): number | undefined {
        return this.lease.heldEpoch;
    }

    /** Adapters that requests may use, for the runners where they changed after a revision. */
    adaptersSince(revision: number): AdapterChanges {
        return this.manager.adapters.since(revision);
    }

    /** The statement that this node sends to peers after it failed to renew the lease. */
    get yielding(): LeaseYield | undefined {
        return this.lease.yielding;
    }

    /** Adds work that callers requested, by model or adapter, to the demand. */
    countWork(work: readonly RequestedWork[]): void {
        for (const requested of work) {
            this.demand.count(requested);
            this.manager.touch(requested.artifact);
        }
    }

    /** Returns where a model or adapter can be used, and starts loading it if necessary. */
    async place(req: PlacementRequest): Promise<PlacementAnswer> {
        const engine = this.gateway.engineOf(req.service);
        if (!engine?.models.has(req.model) || !this.isActive) {
            return { readyInMs: placementRetryMs, isComing: false, isUncertain: !this.isActive };
        }
        req.unreachable.forEach(id => this.manager.suspect(id));
        const trackers = this.manager.trackersOf(req.service);
        const { admitted, usable, bound, isSuspected } = findUsableRunners(req, trackers);
        if (!usable.some(tracker => serves(tracker, req.model))) {
            this.demand.await(req, bound, trackers);
            return this.round() && !this.adoption.isPending(req.service) ? this.estimateReady(req, engine) : { readyInMs: roundIntervalMs, isComing: true };
        }
        if (req.adapter === undefined) {
            const ready = admitted.find(tracker => serves(tracker, req.model) && !req.avoid.includes(tracker.server.id));
            return { runner: ready?.server.id, readyInMs: ready || !isSuspected ? 0 : dueReportIntervalMs, isComing: ready !== undefined || isSuspected };
        }
        return this.placeAdapter(req, engine, admitted);
    }

    /** Estimates when a model without a copy at the runners that a request may use will be ready. */
    private estimateReady(req: PlacementRequest, engine: EngineSpec): PlacementAnswer {
        const now = performance.now();
        const model = engine.models.get(req.model)!;
        // The round may have learned of runners: a new controller knows none before its first one.
        const { usable: trackers, isBound } = findUsableRunners(req, this.manager.trackersOf(req.service));
        const loading = trackers.find(tracker => tracker.isLoading(model.name));
        if (loading) {
            const doneAt = loading.transition?.doneAt ?? now + loading.loadMs(model);
            const readyInMs = doneAt > now ? doneAt - now : dueReportIntervalMs;
            return { runner: loading.server.id, readyInMs, isComing: true, isExpected: true };
        }
        const isPlanned = trackers.some(({ server }) => this.plannedLoads.models.get(server.id) === model.name);
        const laterMs = isPlanned
            ? estimatedUnloadMs + model.diskLoadMs
            : isBound
            ? earliestLoadMs(model, trackers, engine, name => this.demand.work.loadOf(name), {
                weightStoreMs: this.storeLimiter.delayMs(engine.loadsPerS),
                reportMs: dueReportIntervalMs,
                now,
            })
            : undefined;
        return { readyInMs: laterMs ?? placementRetryMs, isComing: laterMs !== undefined };
    }

    private async placeAdapter(req: PlacementRequest, engine: EngineSpec, trackers: readonly RunnerTracker[]): Promise<PlacementAnswer> {
        const adapter = req.adapter!;
        const artifact = artifactKey(req.model, adapter);
        const usable = trackers.filter(({ server }) => !req.avoid.includes(server.id));
        const ready = usable.find(tracker => tracker.hasAdapter(artifact) && serves(tracker, req.model));
        if (ready) {
            ready.touch(artifact);
            return { runner: ready.server.id, readyInMs: 0, isComing: true };
        }
        for (let attempt = 0; attempt < maxAdapterAttempts; attempt++) {
            const slot = chooseAdapterPlacement(usable, engine, req.model, adapter, id => this.gateway.trafficOf(id).load);
            if (!slot) {
                break;
            }
            if (slot.evict) {
                const evicted = await this.manager.sendOrder(slot.tracker, engine, { kind: RunnerOrderKind.Unload, ...slot.evict }, "frees an adapter slot");
                if (evicted !== RunnerOrderAnswer.Done) {
                    continue;
                }
            }
            const answer = await this.manager.sendOrder(slot.tracker, engine, { kind: RunnerOrderKind.Load, model: req.model, adapter }, "adapter requested");
            if (answer === RunnerOrderAnswer.Accepted || answer === RunnerOrderAnswer.Done) {
                return { runner: slot.tracker.server.id, readyInMs: estimatedAdapterLoadMs, isComing: true };
            }
        }
        return { readyInMs: orderResendMs, isComing: usable.some(tracker => serves(tracker, req.model)) };
    }

    /** Plans and sends orders; returns false if the node is not the controller, has no configuration, or the last round was too recent. */
    private round(): boolean {
        const epoch = this.lease.heldEpoch;
        const { config } = this.gateway;
        const startedAt = performance.now();
        if (epoch === undefined || !config || startedAt < this.nextRoundAt) {
            return false;
        }
        if (epoch !== this.activeEpoch) {
            this.takeOver(epoch);
        }
        for (const { name, engine } of config.services.values()) {
            if (engine && engine.models.size > 0) {
                this.manager.sync(name, engine);
                this.planService(name, engine);
            }
        }
        const endedAt = performance.now();
        this.nextRoundAt = endedAt + roundGapMs(endedAt - startedAt);
        return true;
    }

    /** Resets the state for a new epoch: starts from the runners' reports and from the weight store loads of previous holders. */
    private takeOver(epoch: number): void {
        this.activeEpoch = epoch;
        this.manager.clear();
        this.adoption.begin();
        this.plannedLoads.clear();
        this.storeLimiter = WeightStoreLimiter.create(this.gateway.settings.loadWindowMs);
        this.lease.weightStoreLoadAges.forEach(ageMs => this.storeLimiter.count(ageMs));
    }

    private planService(service: string, engine: EngineSpec): void {
        const trackers = this.manager.trackersOf(service);
        if (!this.adoption.update(service, trackers)) {
            return;
        }
        const demand = this.demand.inputsFor(service, trackers);
        this.plannedLoads.removeEnded(id => this.manager.get(id));
        findOvertakenLoads(this.plannedLoads.models, trackers, demand.needs).forEach(id => this.plannedLoads.remove(id));
        const plan = CopyPlan.create({
            engine,
            trackers,
            ...demand,
            mayLoadFromWeightStore: this.storeLimiter.mayStartLoad(engine.loadsPerS),
            plannedLoads: this.plannedLoads.models,
        });
        for (const [id, planned] of this.plannedLoads.models) {
            const tracker = this.manager.get(id);
            const model = engine.models.get(planned);
            if (tracker && model && tracker.canOrder && tracker.server.service === service) {
                const step = plan.stepFor(model, tracker);
                if (step) {
                    this.execute(tracker, engine, step);
                }
                else {
                    this.plannedLoads.remove(id);
                }
            }
        }
        for (const step of plan.steps()) {
            const tracker = this.manager.get(step.runner);
            if (tracker?.canOrder) {
                logTurn(step, demand);
                this.execute(tracker, engine, step);
            }
        }
    }

    private execute(tracker: RunnerTracker, engine: EngineSpec, step: CopyStep): void {
        if (step.kind === RunnerOrderKind.Load && tracker.loadsFromWeightStore(step.model)) {
            if (!this.storeLimiter.mayStartLoad(engine.loadsPerS)) {
                return;
            }
            this.storeLimiter.count();
        }
        if (step.freesMemoryFor !== undefined) {
            this.plannedLoads.add(step.runner, step.freesMemoryFor);
        }
        const reason = step.freesMemoryFor === undefined ? `advantage ${step.advantage.toFixed(2)}` : `frees memory for ${step.freesMemoryFor}`;
        this.manager.sendOrder(tracker, engine, { kind: step.kind, model: step.model }, reason)
            .catch((err: unknown) => emit(EventId.ControllerRoundFailed, { runner: step.runner, detail: toFailure(err).detail }));
    }
}

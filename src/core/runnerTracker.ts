import { artifactKey } from "../types/modelRequest";
import type { ModelTransition } from "../types/modelTransition";
import type { RunnerOrder, RunnerReport } from "../types/runner";
import { RunnerOrderAnswer, RunnerOrderKind } from "../types/runner";
import type { EngineSpec, ModelSpec } from "../types/servingConfig";
import type { UpstreamServer } from "../types/upstreamServer";
import type { LoadName } from "./lateLoads";
import { LateLoads } from "./lateLoads";
import type { LoadSize } from "./loadSize";
import { adapterMb, loadSizeOf } from "./loadSize";

/** A runner counts as unreachable after this many failed report requests; a node's failure to reach it counts as one. */
const maxFailedReports = 2;

/** The controller's view of one runner: its models and adapters, the load or unload in progress, and the pending order. */
export class RunnerTracker {
    readonly models = new Set<string>();
    /** Adapters that are loaded or being loaded, as `model/adapter`, with the time of their last use. */
    readonly adapters = new Map<string, number>();
    /** Adapters that are unloaded once their requests have ended; they occupy a slot until then. */
    readonly unloadingAdapters = new Set<string>();
    acceptedOrders = 0;
    isBusy = false;
    transition: ModelTransition | undefined;
    /** The order whose outcome is not known; it is resent unchanged until the count of accepted orders shows the outcome. */
    pendingOrder: RunnerOrder | undefined;
    /** Whether a report has been received since the takeover, the runner's start and its last refusal of an order. */
    hasCurrentReport = false;
    /** The order that is being sent or awaits its answer. */
    inFlightOrder: RunnerOrder | undefined;
    /** Whether orders may be sent: the controller lease is held, and the last order of another holder is old enough. */
    mayOrder = true;
    /** Whether a node has failed to reach the runner since its last report. */
    isSuspected = false;
    /** Failed report requests since the last report. */
    failedReports = 0;
    /** When each model appeared, on the monotonic clock. Those of the first report were loaded at a time that is not known: they count as held for long. */
    private readonly heldSince = new Map<string, number>();
    /** Whether a report has been received since the takeover and the runner's start. */
    hasReported = false;
    private bornAt: number;
    /** The load in flight, as it was recorded. */
    private sentLoad: LoadName | undefined;

    private constructor(public server: UpstreamServer, private readonly now: () => number, private readonly lateLoads: LateLoads) {
        this.bornAt = server.bornAt;
    }

    /** Creates a tracker without state; no order is sent before the first report. `lateLoads` outlives the tracker. */
    static create(server: UpstreamServer, now: () => number = () => performance.now(), lateLoads = LateLoads.create(now)): RunnerTracker {
        return new RunnerTracker(server, now, lateLoads);
    }

    /** Memory of all models and adapters that the runner holds, is loading or unloading, or may still load. */
    usedMb(engine: EngineSpec): number {
        const models = [...this.possibleModelSet()].reduce((sum, name) => sum + (engine.models.get(name)?.memoryMb ?? 0), 0);
        const adapters = [...this.adapters.keys()].reduce((sum, artifact) => sum + adapterMb(engine, artifact), 0);
        return models + adapters + this.reserved.memoryMb;
    }

    /** Adapter slots that are taken, or may be by a load that is still to be executed. */
    get usedAdapterSlots(): number {
        return this.adapters.size + this.reserved.adapterSlots;
    }

    /** What loads that were sent to earlier processes of this runner may still take up. */
    private get reserved(): LoadSize {
        return this.lateLoads.reservedFor(this.server.id, this.bornAt);
    }

    /** Estimated time of a load of a model on this runner. */
    loadMs(model: ModelSpec): number {
        return this.isWarm(model.name) ? model.warmLoadMs : this.server.onDisk.includes(model.name) ? model.diskLoadMs : model.loadMs;
    }

    /** Whether a load would come from the weight store. */
    loadsFromWeightStore(model: string): boolean {
        return !this.isWarm(model) && !this.server.onDisk.includes(model);
    }

    /** Whether fewer than `maxFailedReports` attempts to reach the runner have failed since its last report. */
    get isReachable(): boolean {
        return this.failedReports + (this.isSuspected ? 1 : 0) < maxFailedReports;
    }

    /** Time since the runner was seen to load a model. */
    heldMs(model: string): number {
        return this.now() - (this.heldSince.get(model) ?? this.now());
    }

    /** Whether a new order may be sent: none is pending or in flight, and the runner is neither loading nor unloading a model. */
    get canOrder(): boolean {
        return this.mayOrder && this.hasCurrentReport && !this.isBusy && !this.inFlightOrder && !this.pendingOrder && !this.transition;
    }

    /** Applies a newer directory entry. A restart under the same ID clears all state; what loads of before may still take up is kept by the runner's ID. */
    onServer(server: UpstreamServer): void {
        this.server = server;
        if (server.bornAt !== this.bornAt) {
            this.onRestart(server.bornAt);
        }
    }

    /** Applies a report; one from before the last accepted order updates only the reachability and the stored weights. */
    onReport(report: RunnerReport): void {
        if (report.bornAt !== this.bornAt) {
            this.onRestart(report.bornAt);
        }
        this.failedReports = 0;
        this.isSuspected = false;
        this.server = { ...this.server, inMemory: report.inMemory, onDisk: report.onDisk };
        if (report.acceptedOrders < this.acceptedOrders) {
            // Reports lag: this one describes the runner before its last accepted order.
            return;
        }
        if (this.pendingOrder && (report.acceptedOrders > this.pendingOrder.expectedAcceptedOrders || report.isBusy)) {
            this.pendingOrder = undefined;
        }
        this.acceptedOrders = report.acceptedOrders;
        this.isBusy = report.isBusy;
        if (!report.isBusy) {
            this.transition = undefined;
        }
        this.hasCurrentReport = true;
        this.models.clear();
        report.models.forEach(({ name }) => this.models.add(name));
        [...this.heldSince.keys()].filter(name => !this.models.has(name)).forEach(name => this.heldSince.delete(name));
        const appearedAt = this.hasReported ? this.now() : Number.NEGATIVE_INFINITY;
        this.models.forEach(name => this.heldSince.set(name, this.heldSince.get(name) ?? appearedAt));
        this.hasReported = true;
        const reportedAdapters = new Set([
            ...report.models.flatMap(({ name, adapters }) => adapters.map(adapter => artifactKey(name, adapter))),
            ...report.loadingAdapters,
        ]);
        [...this.adapters.keys()].filter(artifact => !reportedAdapters.has(artifact)).forEach(artifact => this.adapters.delete(artifact));
        [...this.unloadingAdapters].filter(artifact => !reportedAdapters.has(artifact)).forEach(artifact => this.unloadingAdapters.delete(artifact));
        reportedAdapters.forEach(artifact => this.adapters.set(artifact, this.adapters.get(artifact) ?? this.now()));
    }

    /** Records an order that is about to be sent. */
    onSend(order: RunnerOrder, engine: EngineSpec): void {
        this.inFlightOrder = order;
        if (order.kind === RunnerOrderKind.Load) {
            const name = `${order.expectedAcceptedOrders} ${artifactKey(order.model, order.adapter)}`;
            this.sentLoad = this.lateLoads.onSent({ runner: this.server.id, bornAt: this.bornAt, order: name }, loadSizeOf(order, engine));
        }
    }

    /** Records that the order was not sent after all. */
    onNotSent(): void {
        this.endFlight(true);
    }

    /** Applies the answer to the order in flight. */
    onAnswer(order: RunnerOrder, answer: RunnerOrderAnswer, engine: EngineSpec): void {
        this.endFlight(answer !== RunnerOrderAnswer.Unknown);
        if (answer === RunnerOrderAnswer.Unknown) {
            // A report received in the meantime may have counted the order already.
            this.pendingOrder = this.acceptedOrders > order.expectedAcceptedOrders ? undefined : order;
            return;
        }
        if (answer !== RunnerOrderAnswer.Accepted && answer !== RunnerOrderAnswer.Done) {
            // The count of accepted orders or the runner's state differs from this view: a new report is needed.
            this.hasCurrentReport = false;
            return;
        }
        this.pendingOrder = undefined;
        this.acceptedOrders = order.expectedAcceptedOrders + 1;
        if (order.adapter !== undefined) {
            this.onAdapterAnswer(order.kind, artifactKey(order.model, order.adapter), answer);
            return;
        }
        const model = engine.models.get(order.model);
        const durationMs = order.kind === RunnerOrderKind.Load && model ? this.loadMs(model) : 0;
        this.transition = { kind: order.kind, model: order.model, doneAt: this.now() + durationMs };
        this.isBusy = true;
    }

    /** Whether requests may use an adapter on this runner. */
    hasAdapter(artifact: string): boolean {
        return this.adapters.has(artifact) && !this.unloadingAdapters.has(artifact);
    }

    /** Updates the time of an adapter's last use, for eviction of the least recently used. */
    touch(artifact: string): void {
        if (this.adapters.has(artifact)) {
            this.adapters.set(artifact, this.now());
        }
    }

    private endFlight(isOutcomeKnown: boolean): void {
        this.inFlightOrder = undefined;
        if (this.sentLoad && isOutcomeKnown) {
            this.lateLoads.onAnswered(this.sentLoad);
        }
        this.sentLoad = undefined;
    }

    private onAdapterAnswer(kind: RunnerOrderKind, artifact: string, answer: RunnerOrderAnswer): void {
        if (kind === RunnerOrderKind.Load) {
            this.adapters.set(artifact, this.now());
        }
        else if (answer === RunnerOrderAnswer.Done) {
            this.adapters.delete(artifact);
        }
        else {
            // Requests still use it: it keeps its slot until a report no longer lists it.
            this.unloadingAdapters.add(artifact);
        }
    }

    private isWarm(model: string): boolean {
        return this.server.inMemory.includes(model);
    }

    /** Whether a model is being loaded or, by a pending order, may be. */
    isLoading(model: string): boolean {
        return [this.transition, this.pendingOrder, this.inFlightOrder].some(order =>
            order?.kind === RunnerOrderKind.Load && order.model === model && !("adapter" in order && order.adapter !== undefined)
        );
    }

    /** Models that the runner holds, is loading or unloading or, by a pending order, may load or unload. */
    possibleModels(): readonly string[] {
        return [...this.possibleModelSet()];
    }

    private possibleModelSet(): Set<string> {
        return new Set([
            ...this.models,
            ...(this.transition ? [this.transition.model] : []),
            ...[this.pendingOrder, this.inFlightOrder].filter(order => order && order.adapter === undefined).map(order => order!.model),
        ]);
    }

    private onRestart(bornAt: number): void {
        this.bornAt = bornAt;
        this.pendingOrder = undefined;
        this.transition = undefined;
        this.acceptedOrders = 0;
        this.isBusy = false;
        this.hasCurrentReport = false;
        this.hasReported = false;
        this.heldSince.clear();
        this.models.clear();
        this.adapters.clear();
        this.unloadingAdapters.clear();
    }
}

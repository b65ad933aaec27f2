import { EventId } from "../types/eventId";
import { artifactKey } from "../types/modelRequest";
import type { RunnerOrder, RunnerReport } from "../types/runner";
import { RunnerOrderAnswer, RunnerOrderKind } from "../types/runner";
import type { EngineSpec, ModelSpec } from "../types/servingConfig";
import type { UpstreamServer } from "../types/upstreamServer";
import { assertInvariant } from "../utils/invariants";

/** An order without an answer may be carried out this much later. */
const orderLatenessMs = 15_000;

/** A runner that has left this many questions unanswered is taken for gone; a node's failure to reach it counts as one. */
const maxFailedReports = 2;

/** A model on its way in or out. */
export interface ModelTransition {
    readonly kind: RunnerOrderKind;
    readonly model: string;
    /** When it should be done, on the monotonic clock. */
    readonly doneAt: number;
}

/** Memory kept free for an order that a runner may have got before it restarted under the same ID. */
interface LateReservation {
    readonly memoryMb: number;
    readonly until: number;
}

/** What the controller knows of one runner: what it holds, what is on its way, and which orders have no known outcome. */
export class RunnerTracker {
    readonly models = new Set<string>();
    /** Adapters that are loaded or on their way, as `model/adapter`, with the time of their last use. */
    readonly adapters = new Map<string, number>();
    /** Adapters that are unloaded once their requests have ended; they take a place until then. */
    readonly unloadingAdapters = new Set<string>();
    acceptedOrders = 0;
    isBusy = false;
    transition: ModelTransition | undefined;
    /** An order without an answer; the same order is sent again until the count of accepted orders tells its outcome. */
    pendingOrder: RunnerOrder | undefined;
    /** Whether a report has been read since the controller took over, or since the runner's start. */
    hasCurrentReport = false;
    /** The order that is on its way at this moment. */
    inFlightOrder: RunnerOrder | undefined;
    /** Whether another holder's last order is long enough ago. */
    mayOrder = true;
    /** Whether a node could not reach the runner since its last report. */
    isSuspected = false;
    /** Reports that failed since the last one that came. */
    failedReports = 0;
    /** When each model was first seen here, on the monotonic clock. */
    private readonly heldSince = new Map<string, number>();
    private lateReservations: LateReservation[] = [];
    private bornAt: number;

    private constructor(public server: UpstreamServer, private readonly now: () => number) {
        this.bornAt = server.bornAt;
    }

    /** Opens the book of a runner; nothing is known before its first report. */
    static create(server: UpstreamServer, now: () => number = () => performance.now()): RunnerTracker {
        return new RunnerTracker(server, now);
    }

    /** Memory that models and adapters take, with those on their way and those that may yet come. */
    usedMb(engine: EngineSpec): number {
        this.lateReservations = this.lateReservations.filter(({ until }) => until > this.now());
        const models = [...this.withTransit()].reduce((sum, name) => sum + (engine.models.get(name)?.memoryMb ?? 0), 0);
        const adapters = [...this.adapters.keys()].reduce((sum, artifact) => sum + adapterMb(engine, artifact), 0);
        return models + adapters + this.lateReservations.reduce((sum, { memoryMb }) => sum + memoryMb, 0);
    }

    /** Time that a load of a model takes here. */
    loadMs(model: ModelSpec): number {
        return this.isWarm(model.name) ? model.warmLoadMs : this.server.onDisk.includes(model.name) ? model.diskLoadMs : model.loadMs;
    }

    /** Whether a load would come from the weight store. */
    loadsFromWeightStore(model: string): boolean {
        return !this.isWarm(model) && !this.server.onDisk.includes(model);
    }

    /** Whether the runner answered when it was last asked. */
    get isReachable(): boolean {
        return this.failedReports + (this.isSuspected ? 1 : 0) < maxFailedReports;
    }

    /** Time for which the runner has held a model. */
    heldMs(model: string): number {
        return this.now() - (this.heldSince.get(model) ?? this.now());
    }

    /** Whether the next order may be a new one. */
    get canOrder(): boolean {
        return this.mayOrder && this.hasCurrentReport && !this.isBusy && !this.inFlightOrder && !this.pendingOrder && !this.transition;
    }

    /** Takes a newer directory entry. A restart under the same ID clears everything but memory of orders that may still arrive. */
    onServer(server: UpstreamServer, engine: EngineSpec): void {
        this.server = server;
        if (server.bornAt !== this.bornAt) {
            this.onRestart(server.bornAt, engine);
        }
    }

    /** Takes a report, unless an order was accepted after the moment that it describes. */
    onReport(report: RunnerReport, engine: EngineSpec): void {
        if (report.bornAt !== this.bornAt) {
            this.onRestart(report.bornAt, engine);
        }
        this.failedReports = 0;
        this.isSuspected = false;
        this.server = { ...this.server, inMemory: report.inMemory, onDisk: report.onDisk };
        if (report.acceptedOrders < this.acceptedOrders) {
            // Reports lag: this one describes the runner before its last order.
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
        this.models.forEach(name => this.heldSince.set(name, this.heldSince.get(name) ?? this.now()));
        const held = new Set([
            ...report.models.flatMap(({ name, adapters }) => adapters.map(adapter => artifactKey(name, adapter))),
            ...report.loadingAdapters,
        ]);
        [...this.adapters.keys()].filter(artifact => !held.has(artifact)).forEach(artifact => this.adapters.delete(artifact));
        [...this.unloadingAdapters].filter(artifact => !held.has(artifact)).forEach(artifact => this.unloadingAdapters.delete(artifact));
        held.forEach(artifact => this.adapters.set(artifact, this.adapters.get(artifact) ?? this.now()));
    }

    /** Checks that an order leaves memory and adapter places within bounds, whatever came of earlier ones. */
    assertFits(order: RunnerOrder, engine: EngineSpec): void {
        if (order.kind !== RunnerOrderKind.Load) {
            return;
        }
        const model = engine.models.get(order.model);
        const added = order.adapter === undefined ? model?.memoryMb ?? 0 : model?.adapterMemoryMb ?? 0;
        assertInvariant(this.usedMb(engine) + added <= engine.memoryMb, EventId.InvariantMemory, () => `${this.server.id}: ${order.model}`);
        const places = this.adapters.size + (order.adapter === undefined ? 0 : 1);
        assertInvariant(places <= engine.adapterSlots, EventId.InvariantMemory, () => `${this.server.id}: ${places} adapters`);
    }

    /** Takes the answer to an order. */
    onAnswer(order: RunnerOrder, answer: RunnerOrderAnswer, engine: EngineSpec): void {
        if (answer === RunnerOrderAnswer.Unknown) {
            // A report may have counted the order while its answer was awaited.
            this.pendingOrder = this.acceptedOrders > order.expectedAcceptedOrders ? undefined : order;
            return;
        }
        if (answer !== RunnerOrderAnswer.Accepted && answer !== RunnerOrderAnswer.Done) {
            // The count or the state is not what was thought: a fresh report tells.
            this.hasCurrentReport = false;
            return;
        }
        this.pendingOrder = undefined;
        this.acceptedOrders = order.expectedAcceptedOrders + 1;
        if (order.adapter !== undefined) {
            this.onAdapter(order.kind, artifactKey(order.model, order.adapter), answer);
            return;
        }
        const model = engine.models.get(order.model);
        const lasts = order.kind === RunnerOrderKind.Load && model ? this.loadMs(model) : 0;
        this.transition = { kind: order.kind, model: order.model, doneAt: this.now() + lasts };
        this.isBusy = true;
    }

    /** Whether requests may use an adapter here. */
    hasAdapter(artifact: string): boolean {
        return this.adapters.has(artifact) && !this.unloadingAdapters.has(artifact);
    }

    /** Notes that an adapter is used, so that it is not the first to be evicted. */
    touch(artifact: string): void {
        if (this.adapters.has(artifact)) {
            this.adapters.set(artifact, this.now());
        }
    }

    private onAdapter(kind: RunnerOrderKind, artifact: string, answer: RunnerOrderAnswer): void {
        if (kind === RunnerOrderKind.Load) {
            this.adapters.set(artifact, this.now());
        }
        else if (answer === RunnerOrderAnswer.Done) {
            this.adapters.delete(artifact);
        }
        else {
            // Requests still use it: it keeps its place until a report says that it is gone.
            this.unloadingAdapters.add(artifact);
        }
    }

    private isWarm(model: string): boolean {
        return this.server.inMemory.includes(model);
    }

    /** Whether a model is being loaded, or may be. */
    isLoading(model: string): boolean {
        return [this.transition, this.pendingOrder, this.inFlightOrder].some(order =>
            order?.kind === RunnerOrderKind.Load && order.model === model && !("adapter" in order && order.adapter !== undefined)
        );
    }

    /** Models that are here, on their way in or out, or may be. */
    possibleModels(): readonly string[] {
        return [...this.withTransit()];
    }

    private withTransit(): Set<string> {
        return new Set([
            ...this.models,
            ...(this.transition ? [this.transition.model] : []),
            ...[this.pendingOrder, this.inFlightOrder].filter(order => order && order.adapter === undefined).map(order => order!.model),
        ]);
    }

    private onRestart(bornAt: number, engine: EngineSpec): void {
        const { pendingOrder: unsettled } = this;
        if (unsettled?.kind === RunnerOrderKind.Load) {
            const model = engine.models.get(unsettled.model);
            const memoryMb = (unsettled.adapter === undefined ? model?.memoryMb : model?.adapterMemoryMb) ?? 0;
            this.lateReservations.push({ memoryMb, until: this.now() + orderLatenessMs });
        }
        this.bornAt = bornAt;
        this.pendingOrder = undefined;
        this.transition = undefined;
        this.acceptedOrders = 0;
        this.isBusy = false;
        this.hasCurrentReport = false;
        this.models.clear();
        this.adapters.clear();
        this.unloadingAdapters.clear();
    }
}

const adapterMb = (engine: EngineSpec, artifact: string): number => engine.models.get(artifact.slice(0, artifact.indexOf("/")))?.adapterMemoryMb ?? 0;

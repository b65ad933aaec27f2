import { chooseAdapterPlacement } from "../core/chooseAdapterPlacement";
import type { ControllerLease } from "../core/controllerLease";
import { holdsOrLoads, serves } from "../core/copies";
import { CopyPlan } from "../core/copyPlan";
import type { CopyStep } from "../core/copyStep";
import { toFailure } from "../core/failures";
import { ModelDemand } from "../core/modelDemand";
import type { RunnerTracker } from "../core/runnerTracker";
import { WeightStoreLimiter } from "../core/weightStoreLimiter";
import type { Gateway } from "../forward/gateway";
import type { LeaseYield } from "../types/controllerLease";
import { EventId } from "../types/eventId";
import { artifactKey, modelOfArtifactKey } from "../types/modelRequest";
import type { AdapterChanges, PlacementAnswer, PlacementRequest, RequestedWork } from "../types/placement";
import type { RunnerControl } from "../types/runner";
import { RunnerOrderAnswer, RunnerOrderKind } from "../types/runner";
import type { EngineSpec, ModelSpec } from "../types/servingConfig";
import { emit } from "../utils/events";
import { dueReportIntervalMs, orderResendMs, RunnerManager } from "./runnerManager";

/** Pause between two rounds. */
const roundMs = 100;
/** Least pause between two rounds, and share of the processor that rounds may take: requests are forwarded by the same thread. */
const minRoundGapMs = 30;
const maxRoundShare = 0.1;
/** A model is wanted for this long after the last request that waits for it. */
const wantedMs = 1_500;
/** An unload makes room for a model that is loaded within this time, or not at all. */
const intentMs = 8_000;
/** Time in which an adapter is loaded, with its way there. */
const adapterReadyMs = 10;
/** Runners that are tried for an adapter before the node is told to ask again. */
const maxAdapterTries = 2;
/** Time that an unload is thought to take: its requests have to end. */
const unloadMs = 300;
/** When to ask again where nothing is on its way. */
const askAgainMs = 1_000;

/** The model that a runner is cleared for. */
interface Intent {
    readonly model: string;
    readonly until: number;
}

/** Controls the runners of all engine services while this node holds the lease. */
export class Controller {
    private readonly demand = ModelDemand.create();
    private readonly wanted = new Map<string, number>();
    private readonly intents = new Map<string, Intent>();
    private readonly desk: RunnerManager;
    private ceiling: WeightStoreLimiter;
    private epoch = 0;
    /** When the next round may begin, on the monotonic clock. */
    private nextRoundAt = Number.NEGATIVE_INFINITY;

    private constructor(private readonly gateway: Gateway, private readonly lease: ControllerLease, runners: RunnerControl) {
        this.desk = RunnerManager.create(gateway, lease, runners, () => void this.round());
        this.ceiling = WeightStoreLimiter.create(gateway.settings.loadWindowMs);
    }

    /** Makes a controller that acts only while the lease is held. */
    static create(gateway: Gateway, lease: ControllerLease, runners: RunnerControl): Controller {
        return new Controller(gateway, lease, runners);
    }

    /** Acts in rounds until the signal aborts. */
    start(signal: AbortSignal): void {
        const timer = setInterval(() => void this.round(), roundMs);
        signal.addEventListener("abort", () => clearInterval(timer), { once: true });
    }

    /** Whether this node controls the runners. */
    get isActive(): boolean {
        return this.heldEpoch !== undefined;
    }

    /** Epoch under which this node controls the runners, undefined where it does not. */
    get heldEpoch(): number | undefined {
        return this.lease.heldEpoch;
    }

    /** Adapters that requests may use, of the runners where they changed after a revision. */
    adaptersSince(revision: number): AdapterChanges {
        return this.desk.adapters.since(revision);
    }

    /** What this node tells peers after it could not renew the lease. */
    get yielding(): LeaseYield | undefined {
        return this.lease.yielding;
    }

    /** Takes work that callers asked for, by model or adapter. */
    countWork(work: readonly RequestedWork[]): void {
        for (const { artifact, workMs, idleMs } of work) {
            this.demand.count(modelOfArtifactKey(artifact), workMs, idleMs);
            this.desk.touch(artifact);
        }
    }

    /** Says where a model or adapter can be used, and sees to it that it can. */
    async place(req: PlacementRequest): Promise<PlacementAnswer> {
        const engine = this.engineOf(req.service);
        if (!engine?.models.has(req.model) || !this.isActive) {
            return { readyInMs: askAgainMs, isComing: false, isUncertain: !this.isActive };
        }
        const now = performance.now();
        req.unreachable.forEach(id => this.desk.suspect(id));
        const books = this.desk.trackersOf(req.service);
        if (!books.some(book => serves(book, req.model))) {
            this.wanted.set(req.model, now);
            if (!this.round()) {
                return { readyInMs: roundMs, isComing: true };
            }
            return this.comingIn(req.model, engine.models.get(req.model)!, books);
        }
        if (req.adapter === undefined) {
            const holder = books.find(book => serves(book, req.model) && !req.avoid.includes(book.server.id));
            const isSuspected = books.some(book => book.isSuspected && serves(book, req.model));
            return { runner: holder?.server.id, readyInMs: holder || !isSuspected ? 0 : dueReportIntervalMs, isComing: holder !== undefined || isSuspected };
        }
        return this.placeAdapter(req, engine, books);
    }

    /** When a model without a copy will have one. */
    private comingIn(model: string, spec: ModelSpec, books: readonly RunnerTracker[]): PlacementAnswer {
        const loading = books.find(book => book.isLoading(model));
        if (loading) {
            const doneAt = loading.transition?.doneAt ?? performance.now() + loading.loadMs(spec);
            return { runner: loading.server.id, readyInMs: Math.max(0, doneAt - performance.now()), isComing: true };
        }
        const isIntended = [...this.intents.values()].some(intent => intent.model === model);
        return { readyInMs: isIntended ? unloadMs + spec.diskLoadMs : askAgainMs, isComing: isIntended };
    }

    private async placeAdapter(req: PlacementRequest, engine: EngineSpec, books: readonly RunnerTracker[]): Promise<PlacementAnswer> {
        const adapter = req.adapter!;
        const artifact = artifactKey(req.model, adapter);
        const usable = books.filter(({ server }) => !req.avoid.includes(server.id));
        const holder = usable.find(book => book.hasAdapter(artifact) && serves(book, req.model));
        if (holder) {
            holder.touch(artifact);
            return { runner: holder.server.id, readyInMs: 0, isComing: true };
        }
        for (let tries = 0; tries < maxAdapterTries; tries++) {
            const step = chooseAdapterPlacement(usable, engine, req.model, adapter, id => this.gateway.trafficOf(id).load);
            if (!step) {
                break;
            }
            if (step.evict) {
                const cleared = await this.desk.sendOrder(step.tracker, engine, { kind: RunnerOrderKind.Unload, ...step.evict }, "makes room for an adapter");
                if (cleared !== RunnerOrderAnswer.Done) {
                    continue;
                }
            }
            const answer = await this.desk.sendOrder(step.tracker, engine, { kind: RunnerOrderKind.Load, model: req.model, adapter }, "adapter wanted");
            if (answer === RunnerOrderAnswer.Accepted || answer === RunnerOrderAnswer.Done) {
                return { runner: step.tracker.server.id, readyInMs: adapterReadyMs, isComing: true };
            }
        }
        return { readyInMs: orderResendMs, isComing: books.some(book => serves(book, req.model)) };
    }

    /** Plans and sends orders; false where the last round was too short a time ago. */
    private round(): boolean {
        const epoch = this.lease.heldEpoch;
        const { config } = this.gateway;
        const startedAt = performance.now();
        if (epoch === undefined || !config || startedAt < this.nextRoundAt) {
            return false;
        }
        if (epoch !== this.epoch) {
            this.takeOver(epoch);
        }
        for (const { name, engine } of config.services.values()) {
            if (engine && engine.models.size > 0) {
                this.desk.sync(name, engine);
                this.planService(name, engine);
            }
        }
        const endedAt = performance.now();
        this.nextRoundAt = endedAt + Math.max(minRoundGapMs, (endedAt - startedAt) / maxRoundShare);
        return true;
    }

    /** Starts from what the runners report, and from the loads that a predecessor began. */
    private takeOver(epoch: number): void {
        this.epoch = epoch;
        this.desk.clear();
        this.intents.clear();
        this.ceiling = WeightStoreLimiter.create(this.gateway.settings.loadWindowMs);
        this.lease.weightStoreLoadAges.forEach(ageMs => this.ceiling.count(ageMs));
    }

    private planService(service: string, engine: EngineSpec): void {
        const now = performance.now();
        const books = this.desk.trackersOf(service);
        const wanted = new Set([...this.wanted].filter(([, at]) => now - at < wantedMs).map(([model]) => model));
        const plan = CopyPlan.create({
            engine,
            trackers: books,
            demand: this.demand,
            awaitedModels: wanted,
            mayLoadFromWeightStore: this.ceiling.mayStartLoad(engine.loadsPerS),
        });
        for (const [id, intent] of this.intents) {
            const book = this.desk.get(id);
            const model = engine.models.get(intent.model);
            if (!book || !model || now > intent.until || holdsOrLoads(book, intent.model)) {
                this.intents.delete(id);
            }
            else if (book.canOrder && book.server.service === service) {
                const step = plan.stepFor(model, book);
                if (step) {
                    this.execute(book, engine, step);
                }
            }
        }
        const intended = new Set([...this.intents.values()].map(({ model }) => model));
        for (const step of plan.steps()) {
            const target = step.freesMemoryFor ?? step.model;
            const book = this.desk.get(step.runner);
            if (book?.canOrder && !this.intents.has(step.runner) && !intended.has(target)) {
                this.execute(book, engine, step);
            }
        }
    }

    private execute(book: RunnerTracker, engine: EngineSpec, step: CopyStep): void {
        if (step.kind === RunnerOrderKind.Load && book.loadsFromWeightStore(step.model)) {
            if (!this.ceiling.mayStartLoad(engine.loadsPerS)) {
                return;
            }
            this.ceiling.count();
        }
        if (step.freesMemoryFor !== undefined) {
            this.intents.set(step.runner, this.intents.get(step.runner) ?? { model: step.freesMemoryFor, until: performance.now() + intentMs });
        }
        const reason = step.freesMemoryFor === undefined ? `advantage ${step.advantage.toFixed(2)}` : `makes room for ${step.freesMemoryFor}`;
        this.desk.sendOrder(book, engine, { kind: step.kind, model: step.model }, reason)
            .catch((err: unknown) => emit(EventId.ControllerRoundFailed, { runner: step.runner, detail: toFailure(err).detail }));
    }

    private engineOf(service: string): EngineSpec | undefined {
        return this.gateway.config?.services.get(service)?.engine;
    }
}

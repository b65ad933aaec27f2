import type { ControllerLease } from "../core/controllerLease";
import type { CopyStep } from "../core/copyPlan";
import { CopyPlan, holdsOrLoads } from "../core/copyPlan";
import { LoadCeiling } from "../core/loadCeiling";
import { ModelDemand } from "../core/modelDemand";
import { RunnerBook } from "../core/runnerBook";
import { toFailure } from "../core/failures";
import type { Gateway } from "../forward/gateway";
import { EventId } from "../types/eventId";
import type { LeaseYield } from "../types/controllerLease";
import { artifactOf, modelOf } from "../types/modelNeed";
import type { PlacementAnswer, PlacementRequest } from "../types/placement";
import type { RunnerControl, RunnerOrder } from "../types/runner";
import { RunnerOrderAnswer, RunnerOrderKind } from "../types/runner";
import type { EngineSpec } from "../types/servingConfig";
import { emit } from "../utils/events";
import { chooseAdapterStep } from "../core/adapterPlan";

/** Pause between two rounds. */
const roundMs = 100;
/** Pause between two reports of a runner that has nothing on its way; asking is priced. */
const reportMs = 1_500;
/** Pause between two reports of a runner whose load should be done. */
const dueReportMs = 150;
/** Pause before an order without an answer is sent again. */
const resendMs = 400;
/** A model is wanted for this long after the last request that waits for it. */
const wantedMs = 1_500;
/** An unload makes room for a model that is loaded within this time, or not at all. */
const intentMs = 8_000;
/** Time in which an adapter is loaded, with its way there. */
const adapterReadyMs = 10;
/** Time that an unload is thought to take: its requests have to end. */
const unloadMs = 300;
/** When to ask again where nothing is on its way. */
const askAgainMs = 1_000;

interface Intent {
    readonly model: string;
    readonly until: number;
}

/** Orders the runners of all engine services about while this node holds the lease. */
export class Controller {
    private readonly demand = ModelDemand.create();
    private readonly books = new Map<string, RunnerBook>();
    private readonly wanted = new Map<string, number>();
    private readonly intents = new Map<string, Intent>();
    private readonly orderedAt = new Map<string, number>();
    private ceiling: LoadCeiling;
    private epoch = 0;

    private constructor(private readonly gateway: Gateway, private readonly lease: ControllerLease, private readonly runners: RunnerControl) {
        this.ceiling = LoadCeiling.create(gateway.settings.loadWindowMs);
    }

    /** Makes a controller that acts only while the lease is held. */
    static create(gateway: Gateway, lease: ControllerLease, runners: RunnerControl): Controller {
        return new Controller(gateway, lease, runners);
    }

    /** Acts in rounds until the signal aborts. */
    start(signal: AbortSignal): void {
        const timer = setInterval(() => this.round(), roundMs);
        signal.addEventListener("abort", () => clearInterval(timer), { once: true });
    }

    /** Whether this node orders the runners about. */
    get isActive(): boolean {
        return this.lease.heldEpoch !== undefined;
    }

    /** Adapters by runner, as far as they are loaded or on their way. */
    adaptersByRunner(): Readonly<Record<string, readonly string[]>> {
        return Object.fromEntries([...this.books].map(([id, book]) => [id, [...book.adapters.keys()].filter(artifact => book.hasAdapter(artifact))]));
    }

    /** What this node tells peers after it could not renew the lease. */
    get yielding(): LeaseYield | undefined {
        return this.lease.yielding;
    }

    /** Takes work that callers asked for, by model or adapter. */
    countWork(work: Readonly<Record<string, number>>): void {
        for (const [artifact, workMs] of Object.entries(work)) {
            this.demand.count(modelOf(artifact), workMs);
            this.books.forEach(book => book.touch(artifact));
        }
    }

    /** Says where a model or adapter can be used, and sees to it that it can. */
    async place(req: PlacementRequest): Promise<PlacementAnswer> {
        const engine = this.engineOf(req.service);
        if (!engine?.models.has(req.model) || !this.isActive) {
            return { readyInMs: askAgainMs, isComing: false };
        }
        const now = performance.now();
        const books = this.booksOf(req.service);
        if (!books.some(book => book.models.has(req.model))) {
            this.wanted.set(req.model, now);
            this.round();
            const coming = books.find(book => holdsOrLoads(book, req.model));
            const intended = [...this.intents].find(([, { model }]) => model === req.model);
            if (coming?.transit) {
                return { runner: coming.server.id, readyInMs: Math.max(0, coming.transit.doneAt - now), isComing: true };
            }
            const spec = engine.models.get(req.model)!;
            return { readyInMs: intended ? unloadMs + spec.diskLoadMs : askAgainMs, isComing: intended !== undefined || coming !== undefined };
        }
        if (req.adapter === undefined) {
            const holder = books.find(book => book.models.has(req.model) && !req.avoid.includes(book.server.id));
            return { runner: holder?.server.id, readyInMs: 0, isComing: holder !== undefined };
        }
        return this.placeAdapter(req, engine, books);
    }

    private async placeAdapter(req: PlacementRequest, engine: EngineSpec, books: readonly RunnerBook[]): Promise<PlacementAnswer> {
        const adapter = req.adapter!;
        const artifact = artifactOf(req.model, adapter);
        const usable = books.filter(({ server }) => !req.avoid.includes(server.id));
        const holder = usable.find(book => book.hasAdapter(artifact) && book.models.has(req.model));
        if (holder) {
            holder.touch(artifact);
            return { runner: holder.server.id, readyInMs: 0, isComing: true };
        }
        for (let tries = 0; tries < 2; tries++) {
            const step = chooseAdapterStep(usable, engine, req.model, adapter, id => this.gateway.trafficOf(id).load);
            if (!step) {
                break;
            }
            if (step.evict) {
                const cleared = await this.order(step.book, engine, { kind: RunnerOrderKind.Unload, ...step.evict }, "makes room for an adapter");
                if (cleared !== RunnerOrderAnswer.Done) {
                    continue;
                }
            }
            const answer = await this.order(step.book, engine, { kind: RunnerOrderKind.Load, model: req.model, adapter }, "adapter wanted");
            if (answer === RunnerOrderAnswer.Accepted || answer === RunnerOrderAnswer.Done) {
                return { runner: step.book.server.id, readyInMs: adapterReadyMs, isComing: true };
            }
        }
        return { readyInMs: resendMs, isComing: books.some(book => book.models.has(req.model)) };
    }

    private round(): void {
        const epoch = this.lease.heldEpoch;
        const { config } = this.gateway;
        if (epoch === undefined || !config) {
            return;
        }
        if (epoch !== this.epoch) {
            this.takeOver(epoch);
        }
        for (const { name, engine } of config.services.values()) {
            if (engine && engine.models.size > 0) {
                this.syncBooks(name, engine);
                this.planService(name, engine);
            }
        }
    }

    /** Starts from what the runners report; a predecessor may have used the weight store up to its rate. */
    private takeOver(epoch: number): void {
        const isFirst = this.epoch === 0 && this.gateway.settings.isFirstStart;
        this.epoch = epoch;
        this.books.clear();
        this.intents.clear();
        const rates = [...this.gateway.config?.services.values() ?? []].map(({ engine }) => engine?.loadsPerS ?? 0);
        this.ceiling = LoadCeiling.create(this.gateway.settings.loadWindowMs);
        if (!isFirst) {
            this.ceiling.fill(Math.max(...rates.filter(Number.isFinite), 0), this.gateway.settings.turnGapMs);
        }
    }

    private syncBooks(service: string, engine: EngineSpec): void {
        const servers = this.gateway.directory.all().filter(server => server.service === service);
        const ids = new Set(servers.map(({ id }) => id));
        for (const [id, book] of this.books) {
            if (book.server.service === service && !ids.has(id)) {
                this.books.delete(id);
                this.intents.delete(id);
            }
        }
        for (const server of servers) {
            const book = this.books.get(server.id);
            if (book) {
                book.onServer({ ...server, inMemory: book.server.inMemory, onDisk: book.server.onDisk }, engine);
            }
            else {
                this.books.set(server.id, RunnerBook.create(server));
            }
        }
        this.booksOf(service).forEach(book => this.refresh(book, engine));
    }

    /** Reads a report where one is due, and sends an order without an answer again. */
    private refresh(book: RunnerBook, engine: EngineSpec): void {
        const now = performance.now();
        const isDue = !book.isKnown || (book.transit !== undefined && now >= book.transit.doneAt) || book.unsettled !== undefined;
        if (now - (this.askedAt.get(book) ?? Number.NEGATIVE_INFINITY) >= (isDue ? dueReportMs : reportMs)) {
            this.askedAt.set(book, now);
            void this.readReport(book, engine);
        }
        const { unsettled } = book;
        if (unsettled && !book.isOrdering && now - (this.orderedAt.get(book.server.id) ?? 0) > resendMs) {
            void this.send(book, engine, { ...unsettled, epoch: this.epoch }, "sent again");
        }
    }

    private readonly askedAt = new WeakMap<RunnerBook, number>();

    private async readReport(book: RunnerBook, engine: EngineSpec): Promise<void> {
        try {
            const report = await this.runners.report(book.server);
            const { transit } = book;
            book.onReport(report, engine);
            this.gateway.residency.replaceAdapters(book.server.id, book.adapters.keys());
            if (transit && !book.transit) {
                const done = transit.kind === RunnerOrderKind.Load ? EventId.ArtifactResident : EventId.ArtifactGone;
                emit(done, { runner: book.server.id, model: transit.model, orders: book.acceptedOrders });
                this.round();
            }
        }
        catch (err) {
            emit(EventId.ReportFailed, { runner: book.server.id, detail: toFailure(err).detail });
        }
    }

    private planService(service: string, engine: EngineSpec): void {
        const now = performance.now();
        const books = this.booksOf(service);
        const wanted = new Set([...this.wanted].filter(([, at]) => now - at < wantedMs).map(([model]) => model));
        const plan = CopyPlan.create({ engine, books, demand: this.demand, wanted, mayLoadFromStore: this.ceiling.mayBegin(engine.loadsPerS) });
        for (const [id, intent] of this.intents) {
            const book = this.books.get(id);
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
            const target = step.makesRoomFor ?? step.model;
            const book = this.books.get(step.runner);
            if (book?.canOrder && !this.intents.has(step.runner) && !intended.has(target)) {
                this.execute(book, engine, step);
            }
        }
    }

    private execute(book: RunnerBook, engine: EngineSpec, step: CopyStep): void {
        if (step.kind === RunnerOrderKind.Load && book.loadsFromStore(step.model)) {
            if (!this.ceiling.mayBegin(engine.loadsPerS)) {
                return;
            }
            this.ceiling.count();
        }
        if (step.makesRoomFor !== undefined) {
            this.intents.set(step.runner, this.intents.get(step.runner) ?? { model: step.makesRoomFor, until: performance.now() + intentMs });
        }
        const reason = step.makesRoomFor === undefined ? `advantage ${step.advantage.toFixed(2)}` : `makes room for ${step.makesRoomFor}`;
        void this.order(book, engine, { kind: step.kind, model: step.model }, reason);
    }

    private order(book: RunnerBook, engine: EngineSpec, what: Pick<RunnerOrder, "kind" | "model" | "adapter">, reason: string): Promise<RunnerOrderAnswer> {
        return this.send(book, engine, { ...what, expectedOrders: book.acceptedOrders, holder: this.gateway.settings.nodeId, epoch: this.epoch }, reason);
    }

    private async send(book: RunnerBook, engine: EngineSpec, order: RunnerOrder, reason: string): Promise<RunnerOrderAnswer> {
        if (this.lease.heldEpoch !== order.epoch || book.isOrdering) {
            return RunnerOrderAnswer.Conflict;
        }
        if (book.unsettled === undefined) {
            book.assertFits(order, engine);
        }
        book.isOrdering = true;
        this.orderedAt.set(book.server.id, performance.now());
        const { kind, model, adapter, expectedOrders, epoch } = order;
        const fields = { runner: book.server.id, kind, model, adapter, expected: expectedOrders, epoch };
        this.lease.onOrder();
        emit(EventId.OrderSent, { ...fields, reason });
        let answer = RunnerOrderAnswer.Unknown;
        try {
            answer = await this.runners.order(book.server, order);
        }
        catch (err) {
            emit(EventId.OrderUnanswered, { ...fields, detail: toFailure(err).detail });
        }
        book.isOrdering = false;
        book.onAnswer(order, answer, engine);
        if (answer !== RunnerOrderAnswer.Unknown && answer !== RunnerOrderAnswer.Accepted && answer !== RunnerOrderAnswer.Done) {
            emit(EventId.OrderRefused, { ...fields, answer });
        }
        return answer;
    }

    private engineOf(service: string): EngineSpec | undefined {
        return this.gateway.config?.services.get(service)?.engine;
    }

    private booksOf(service: string): readonly RunnerBook[] {
        return [...this.books.values()].filter(({ server }) => server.service === service);
    }
}

import { AdapterRevisions } from "../core/adapterRevisions";
import type { ControllerLease } from "../core/controllerLease";
import { toFailure } from "../core/failures";
import { RunnerTracker } from "../core/runnerTracker";
import type { Gateway } from "../forward/gateway";
import { EventId } from "../types/eventId";
import type { RunnerControl, RunnerOrder } from "../types/runner";
import { RunnerOrderAnswer, RunnerOrderKind } from "../types/runner";
import type { EngineSpec } from "../types/servingConfig";
import { emit } from "../utils/events";

/** Pause between two reports of a runner that has nothing on its way; asking is priced. */
const reportMs = 1_500;
/** Pause between two reports of a runner whose load should be done. */
export const dueReportIntervalMs = 150;
/** Questions after a failed report that follow quickly; then the runner is likely gone. */
const quickReports = 3;
/** Pause before an order without an answer is sent again. */
export const orderResendMs = 400;

/** What an order asks for. */
export type OrderContent = Pick<RunnerOrder, "kind" | "model" | "adapter">;

/** Keeps the books of the runners by their reports, and sends them orders while the lease is held. */
export class RunnerManager {
    private readonly books = new Map<string, RunnerTracker>();
    /** Adapters that requests may use, for nodes that ask what has changed. */
    adapters = AdapterRevisions.create();
    private readonly askedAt = new WeakMap<RunnerTracker, number>();
    private readonly orderedAt = new WeakMap<RunnerTracker, number>();

    private constructor(
        private readonly gateway: Gateway,
        private readonly lease: ControllerLease,
        private readonly runners: RunnerControl,
        private readonly onDone: () => void,
    ) {}

    /** Makes a desk without books; `onDone` is called when a load or unload has ended. */
    static create(gateway: Gateway, lease: ControllerLease, runners: RunnerControl, onDone: () => void): RunnerManager {
        return new RunnerManager(gateway, lease, runners, onDone);
    }

    /** Forgets all books: a new holder starts from the runners' reports. */
    clear(): void {
        this.books.clear();
        this.adapters = AdapterRevisions.create();
    }

    /** Notes that a node could not reach a runner: its next report tells whether it is gone. */
    suspect(id: string): void {
        const book = this.books.get(id);
        if (book?.isReachable && !book.isSuspected) {
            book.isSuspected = true;
            emit(EventId.RunnerSuspected, { runner: id, failedReports: book.failedReports });
        }
    }

    /** The book of a runner. */
    get(id: string): RunnerTracker | undefined {
        return this.books.get(id);
    }

    /** The books of a service's runners. */
    trackersOf(service: string): readonly RunnerTracker[] {
        return [...this.books.values()].filter(({ server }) => server.service === service);
    }

    /** Notes that an adapter is used. */
    touch(artifact: string): void {
        this.books.forEach(book => book.touch(artifact));
    }

    /** Opens and closes books as the directory says, and reads the reports that are due. */
    sync(service: string, engine: EngineSpec): void {
        const servers = this.gateway.directory.all().filter(server => server.service === service);
        const ids = new Set(servers.map(({ id }) => id));
        for (const [id, book] of this.books) {
            if (book.server.service === service && !ids.has(id)) {
                this.books.delete(id);
                this.adapters.remove(id);
            }
        }
        for (const server of servers) {
            const book = this.books.get(server.id);
            if (book) {
                book.onServer({ ...server, inMemory: book.server.inMemory, onDisk: book.server.onDisk }, engine);
            }
            else {
                this.books.set(server.id, RunnerTracker.create(server));
            }
        }
        for (const book of this.trackersOf(service)) {
            book.mayOrder = this.lease.mayOrder(book.server.id);
            this.adapters.update(book.server.id, [...book.adapters.keys()].filter(artifact => book.hasAdapter(artifact)));
            this.refresh(book, engine);
        }
    }

    /** Reads a report where one is due, and sends an order without an answer again. */
    private refresh(book: RunnerTracker, engine: EngineSpec): void {
        const now = performance.now();
        const isAwaited = !book.hasCurrentReport || book.isSuspected || book.pendingOrder !== undefined || book.unloadingAdapters.size > 0 ||
            book.failedReports > 0;
        const isDue = book.failedReports <= quickReports && (isAwaited || (book.transition !== undefined && now >= book.transition.doneAt));
        if (now - (this.askedAt.get(book) ?? Number.NEGATIVE_INFINITY) >= (isDue ? dueReportIntervalMs : reportMs)) {
            this.askedAt.set(book, now);
            void this.readReport(book, engine);
        }
        const { pendingOrder: unsettled } = book;
        if (unsettled && book.mayOrder && !book.inFlightOrder && now - (this.orderedAt.get(book) ?? Number.NEGATIVE_INFINITY) > orderResendMs) {
            this.send(book, engine, unsettled, "sent again")
                .catch((err: unknown) => emit(EventId.ControllerRoundFailed, { runner: book.server.id, detail: toFailure(err).detail }));
        }
    }

    private async readReport(book: RunnerTracker, engine: EngineSpec): Promise<void> {
        try {
            const report = await this.runners.fetchReport(book.server);
            const { transition: transit } = book;
            book.onReport(report, engine);
            this.gateway.residency.replaceAdapters(book.server.id, book.adapters.keys());
            if (transit && !book.transition) {
                const done = transit.kind === RunnerOrderKind.Load ? EventId.ArtifactResident : EventId.ArtifactGone;
                emit(done, { runner: book.server.id, model: transit.model, orders: book.acceptedOrders });
                this.onDone();
            }
        }
        catch (err) {
            book.failedReports++;
            emit(EventId.ReportFailed, { runner: book.server.id, detail: toFailure(err).detail });
        }
    }

    /** Sends an order; one that finds the runner or the lease gone is answered as a conflict. */
    sendOrder(book: RunnerTracker, engine: EngineSpec, what: OrderContent, reason: string): Promise<RunnerOrderAnswer> {
        return this.send(
            book,
            engine,
            { ...what, expectedAcceptedOrders: book.acceptedOrders, holder: this.gateway.settings.nodeId, epoch: this.lease.heldEpoch ?? 0 },
            reason,
        );
    }

    private async send(book: RunnerTracker, engine: EngineSpec, order: RunnerOrder, reason: string): Promise<RunnerOrderAnswer> {
        if (this.lease.heldEpoch === undefined || this.lease.heldEpoch !== order.epoch || book.inFlightOrder) {
            return RunnerOrderAnswer.Conflict;
        }
        if (book.pendingOrder === undefined) {
            book.assertFits(order, engine);
        }
        book.inFlightOrder = order;
        this.orderedAt.set(book, performance.now());
        const { kind, model, adapter, expectedAcceptedOrders: expectedOrders, epoch } = order;
        const fields = { runner: book.server.id, kind, model, adapter, expected: expectedOrders, epoch };
        const isStoreLoad = book.pendingOrder === undefined && kind === RunnerOrderKind.Load && adapter === undefined && book.loadsFromWeightStore(model);
        if (!await this.lease.acquireRunnerLease(book.server.id, isStoreLoad)) {
            book.inFlightOrder = undefined;
            return RunnerOrderAnswer.Conflict;
        }
        emit(EventId.OrderSent, { ...fields, reason });
        let answer = RunnerOrderAnswer.Unknown;
        try {
            answer = await this.runners.order(book.server, order);
        }
        catch (err) {
            emit(EventId.OrderUnanswered, { ...fields, detail: toFailure(err).detail });
        }
        book.inFlightOrder = undefined;
        book.onAnswer(order, answer, engine);
        if (answer !== RunnerOrderAnswer.Unknown && answer !== RunnerOrderAnswer.Accepted && answer !== RunnerOrderAnswer.Done) {
            emit(EventId.OrderRefused, { ...fields, answer });
        }
        return answer;
    }
}

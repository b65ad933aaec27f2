import { AdapterRevisions } from "../core/adapterRevisions";
import type { ControllerLease } from "../core/controllerLease";
import { toFailure } from "../core/failures";
import { RunnerBook } from "../core/runnerBook";
import type { Gateway } from "../forward/gateway";
import { EventId } from "../types/eventId";
import type { RunnerControl, RunnerOrder } from "../types/runner";
import { RunnerOrderAnswer, RunnerOrderKind } from "../types/runner";
import type { EngineSpec } from "../types/servingConfig";
import { emit } from "../utils/events";

/** Pause between two reports of a runner that has nothing on its way; asking is priced. */
const reportMs = 1_500;
/** Pause between two reports of a runner whose load should be done. */
export const dueReportMs = 150;
/** Questions after a failed report that follow quickly; then the runner is likely gone. */
const quickReports = 3;
/** Pause before an order without an answer is sent again. */
export const resendMs = 400;

/** What an order asks for. */
export type OrderContent = Pick<RunnerOrder, "kind" | "model" | "adapter">;

/** Keeps the books of the runners by their reports, and sends them orders while the lease is held. */
export class RunnerDesk {
    private readonly books = new Map<string, RunnerBook>();
    /** Adapters that requests may use, for nodes that ask what has changed. */
    adapters = AdapterRevisions.create();
    private readonly askedAt = new WeakMap<RunnerBook, number>();
    private readonly orderedAt = new WeakMap<RunnerBook, number>();

    private constructor(
        private readonly gateway: Gateway,
        private readonly lease: ControllerLease,
        private readonly runners: RunnerControl,
        private readonly onDone: () => void,
    ) {}

    /** Makes a desk without books; `onDone` is called when a load or unload has ended. */
    static create(gateway: Gateway, lease: ControllerLease, runners: RunnerControl, onDone: () => void): RunnerDesk {
        return new RunnerDesk(gateway, lease, runners, onDone);
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
    get(id: string): RunnerBook | undefined {
        return this.books.get(id);
    }

    /** The books of a service's runners. */
    booksOf(service: string): readonly RunnerBook[] {
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
                this.adapters.forget(id);
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
        for (const book of this.booksOf(service)) {
            book.mayOrder = this.lease.mayOrder(book.server.id);
            this.adapters.note(book.server.id, [...book.adapters.keys()].filter(artifact => book.hasAdapter(artifact)));
            this.refresh(book, engine);
        }
    }

    /** Reads a report where one is due, and sends an order without an answer again. */
    private refresh(book: RunnerBook, engine: EngineSpec): void {
        const now = performance.now();
        const isAwaited = !book.isKnown || book.isSuspected || book.unsettled !== undefined || book.leaving.size > 0 || book.failedReports > 0;
        const isDue = book.failedReports <= quickReports && (isAwaited || (book.transit !== undefined && now >= book.transit.doneAt));
        if (now - (this.askedAt.get(book) ?? Number.NEGATIVE_INFINITY) >= (isDue ? dueReportMs : reportMs)) {
            this.askedAt.set(book, now);
            void this.readReport(book, engine);
        }
        const { unsettled } = book;
        if (unsettled && book.mayOrder && !book.ordering && now - (this.orderedAt.get(book) ?? Number.NEGATIVE_INFINITY) > resendMs) {
            this.send(book, engine, unsettled, "sent again")
                .catch((err: unknown) => emit(EventId.StewardFailed, { runner: book.server.id, detail: toFailure(err).detail }));
        }
    }

    private async readReport(book: RunnerBook, engine: EngineSpec): Promise<void> {
        try {
            const report = await this.runners.report(book.server);
            const { transit } = book;
            book.onReport(report, engine);
            this.gateway.residency.replaceAdapters(book.server.id, book.adapters.keys());
            if (transit && !book.transit) {
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
    order(book: RunnerBook, engine: EngineSpec, what: OrderContent, reason: string): Promise<RunnerOrderAnswer> {
        return this.send(
            book,
            engine,
            { ...what, expectedOrders: book.acceptedOrders, holder: this.gateway.settings.nodeId, epoch: this.lease.heldEpoch ?? 0 },
            reason,
        );
    }

    private async send(book: RunnerBook, engine: EngineSpec, order: RunnerOrder, reason: string): Promise<RunnerOrderAnswer> {
        if (this.lease.heldEpoch === undefined || this.lease.heldEpoch !== order.epoch || book.ordering) {
            return RunnerOrderAnswer.Conflict;
        }
        if (book.unsettled === undefined) {
            book.assertFits(order, engine);
        }
        book.ordering = order;
        this.orderedAt.set(book, performance.now());
        const { kind, model, adapter, expectedOrders, epoch } = order;
        const fields = { runner: book.server.id, kind, model, adapter, expected: expectedOrders, epoch };
        const isStoreLoad = book.unsettled === undefined && kind === RunnerOrderKind.Load && adapter === undefined && book.loadsFromStore(model);
        if (!await this.lease.takeTurn(book.server.id, isStoreLoad)) {
            book.ordering = undefined;
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
        book.ordering = undefined;
        book.onAnswer(order, answer, engine);
        if (answer !== RunnerOrderAnswer.Unknown && answer !== RunnerOrderAnswer.Accepted && answer !== RunnerOrderAnswer.Done) {
            emit(EventId.OrderRefused, { ...fields, answer });
        }
        return answer;
    }
}

import { AdapterRevisions } from "../core/adapterRevisions";
import { assertOrderFits } from "../core/assertOrderFits";
import type { ControllerLease } from "../core/controllerLease";
import { toFailure } from "../core/failures";
import type { LateLoads } from "../core/lateLoads";
import { RunnerTracker } from "../core/runnerTracker";
import type { Gateway } from "../forward/gateway";
import { ContactState } from "../types/contactState";
import { EventId } from "../types/eventId";
import { FailureKind } from "../types/failureKind";
import type { RunnerControl, RunnerOrder } from "../types/runner";
import { RunnerOrderAnswer, RunnerOrderKind } from "../types/runner";
import type { EngineSpec } from "../types/servingConfig";
import { emit } from "../utils/events";

/** Interval between two reports of a runner without a pending transition; fetching a report has a cost. */
const reportIntervalMs = 1_500;
/** Interval between two reports of a runner whose pending transition should be complete, or whose state is uncertain. */
export const dueReportIntervalMs = 150;
/** Number of failed reports that are retried at the short interval; after that the runner is likely gone. */
const maxQuickReports = 3;
/** Minimum time between two words of nodes on one runner that make it report at once: if they are wrong, the nodes are cut off themselves. */
const minSuspicionPauseMs = 5_000;
/** Reports that are fetched at a time: each takes a connection and its objects in the heap. */
const maxReportsInProgress = 256;
/** Delay before a pending order is resent. */
export const orderResendMs = 400;

/** Action and artifact of an order. */
export type OrderContent = Pick<RunnerOrder, "kind" | "model" | "adapter">;

/** Tracks the state of the runners from their reports, and sends them orders while the lease is held. */
export class RunnerManager {
    private readonly trackers = new Map<string, RunnerTracker>();
    /** Adapters that requests may use, with revisions so that nodes can fetch only changes. */
    adapters = AdapterRevisions.create();
    private readonly lastReportRequestAt = new WeakMap<RunnerTracker, number>();
    private readonly lastSuspectedAt = new WeakMap<RunnerTracker, number>();
    /** Runners whose report is due, in the order in which it became so. */
    private readonly awaitedReports = new Set<RunnerTracker>();
    private reportsInProgress = 0;
    private readonly lastOrderAt = new WeakMap<RunnerTracker, number>();

    private constructor(
        private readonly gateway: Gateway,
        private readonly lease: ControllerLease,
        private readonly runners: RunnerControl,
        private readonly lateLoads: LateLoads,
        private readonly onDone: () => void,
    ) {
        gateway.contact.observe(state => {
            if (state === ContactState.Lost) {
                // Reports that failed shortly before did so for the same reason.
                this.trackers.forEach(tracker => tracker.failedReports = 0);
            }
        });
    }

    /** Creates a manager that tracks no runners yet; `onDone` is called when a load or unload has completed. */
    static create(gateway: Gateway, lease: ControllerLease, runners: RunnerControl, lateLoads: LateLoads, onDone: () => void): RunnerManager {
        return new RunnerManager(gateway, lease, runners, lateLoads, onDone);
    }

    /** Removes all trackers: a new lease holder starts from the runners' reports, and from the loads without an answer that the lease row names. */
    clear(): void {
        this.trackers.clear();
        this.awaitedReports.clear();
        this.adapters = AdapterRevisions.create();
    }

    /** Records that a node could not reach a runner; its next report shows whether it is gone. */
    suspect(id: string): void {
        const tracker = this.trackers.get(id);
        const now = performance.now();
        const lastAt = (tracker && this.lastSuspectedAt.get(tracker)) ?? Number.NEGATIVE_INFINITY;
        if (tracker?.isReachable && !tracker.isSuspected && now - lastAt >= minSuspicionPauseMs) {
            this.lastSuspectedAt.set(tracker, now);
            tracker.isSuspected = true;
            emit(EventId.RunnerSuspected, { runner: id, failedReports: tracker.failedReports });
        }
    }

    /** Returns the tracker of a runner. */
    get(id: string): RunnerTracker | undefined {
        return this.trackers.get(id);
    }

    /** Returns the trackers of a service's runners. */
    trackersOf(service: string): readonly RunnerTracker[] {
        return [...this.trackers.values()].filter(({ server }) => server.service === service);
    }

    /** Updates the last use of an adapter on all runners that have it. */
    touch(artifact: string): void {
        this.trackers.forEach(tracker => tracker.touch(artifact));
    }

    /** Adds and removes trackers according to the directory, and fetches the reports that are due. */
    sync(service: string, engine: EngineSpec): void {
        const { directory, availability, contact } = this.gateway;
        const isReaching = contact.state !== ContactState.Lost;
        const servers = directory.all().filter(server => server.service === service).map(server => availability.effective(server));
        const ids = new Set(servers.map(({ id }) => id));
        for (const [id, tracker] of this.trackers) {
            if (tracker.server.service === service && !ids.has(id)) {
                this.trackers.delete(id);
                this.adapters.remove(id);
            }
        }
        for (const server of servers) {
            const tracker = this.trackers.get(server.id);
            if (tracker) {
                tracker.onServer({ ...server, inMemory: tracker.server.inMemory, onDisk: tracker.server.onDisk });
            }
            else {
                this.trackers.set(server.id, RunnerTracker.create(server, () => performance.now(), this.lateLoads));
            }
        }
        for (const tracker of this.trackersOf(service)) {
            tracker.mayOrder = isReaching && this.lease.mayOrder(tracker.server.id) && availability.mayCall(tracker.server);
            this.adapters.update(tracker.server.id, [...tracker.adapters.keys()].filter(artifact => tracker.hasAdapter(artifact)));
            if (isReaching && availability.mayCall(tracker.server)) {
                this.refresh(tracker, engine);
            }
        }
    }

    /** Fetches a report if one is due, and resends a pending order. */
    private refresh(tracker: RunnerTracker, engine: EngineSpec): void {
        const now = performance.now();
        const isReportNeeded = !tracker.hasCurrentReport || tracker.isSuspected || tracker.pendingOrder !== undefined || tracker.unloadingAdapters.size > 0 ||
            tracker.failedReports > 0;
        const isDue = tracker.failedReports <= maxQuickReports && (isReportNeeded || (tracker.transition !== undefined && now >= tracker.transition.doneAt));
        if (now - (this.lastReportRequestAt.get(tracker) ?? Number.NEGATIVE_INFINITY) >= (isDue ? dueReportIntervalMs : reportIntervalMs)) {
            this.lastReportRequestAt.set(tracker, now);
            this.awaitedReports.add(tracker);
            this.fetchAwaited();
        }
        const { pendingOrder } = tracker;
        if (pendingOrder && tracker.mayOrder && !tracker.inFlightOrder && now - (this.lastOrderAt.get(tracker) ?? Number.NEGATIVE_INFINITY) > orderResendMs) {
            this.send(tracker, engine, pendingOrder, "resends a pending order")
                .catch((err: unknown) => emit(EventId.ControllerRoundFailed, { runner: tracker.server.id, detail: toFailure(err).detail }));
        }
    }

    /** Fetches reports in the order in which they became due, a number at a time. */
    private fetchAwaited(): void {
        for (const tracker of this.awaitedReports) {
            if (this.reportsInProgress >= maxReportsInProgress) {
                return;
            }
            this.awaitedReports.delete(tracker);
            if (this.trackers.get(tracker.server.id) === tracker && this.gateway.availability.mayCall(tracker.server)) {
                this.reportsInProgress++;
                void this.fetchReport(tracker).finally(() => {
                    this.reportsInProgress--;
                    this.fetchAwaited();
                });
            }
        }
    }

    private async fetchReport(tracker: RunnerTracker): Promise<void> {
        const requestedAt = performance.now();
        try {
            const report = await this.runners.fetchReport(tracker.server);
            const { transition } = tracker;
            tracker.onReport(report);
            this.gateway.residency.replaceAdapters(tracker.server.id, tracker.adapters.keys());
            if (transition && !tracker.transition) {
                const done = transition.kind === RunnerOrderKind.Load ? EventId.ArtifactResident : EventId.ArtifactGone;
                emit(done, { runner: tracker.server.id, model: transition.model, orders: tracker.acceptedOrders });
                this.onDone();
            }
        }
        catch (err) {
            const { kind, detail } = toFailure(err);
            // A runner that asks for quiet is alive, and one that this node does not reach or cannot ask may be.
            if (kind !== FailureKind.Internal && this.gateway.availability.quietMsOf(tracker.server) === 0 && !this.gateway.contact.wasLostSince(requestedAt)) {
                tracker.failedReports++;
            }
            emit(EventId.ReportFailed, { runner: tracker.server.id, detail });
        }
    }

    /** Sends an order; the answer is a conflict if the lease is not held, another order is in flight, or the runner lease cannot be acquired. */
    sendOrder(tracker: RunnerTracker, engine: EngineSpec, content: OrderContent, reason: string): Promise<RunnerOrderAnswer> {
        return this.send(
            tracker,
            engine,
            { ...content, expectedAcceptedOrders: tracker.acceptedOrders, holder: this.gateway.settings.nodeId, epoch: this.lease.heldEpoch ?? 0 },
            reason,
        );
    }

    private async send(tracker: RunnerTracker, engine: EngineSpec, order: RunnerOrder, reason: string): Promise<RunnerOrderAnswer> {
        const isHolder = this.lease.heldEpoch !== undefined && this.lease.heldEpoch === order.epoch;
        if (!isHolder || tracker.inFlightOrder || !this.gateway.availability.mayCall(tracker.server)) {
            return RunnerOrderAnswer.Conflict;
        }
        if (tracker.pendingOrder === undefined) {
            assertOrderFits(tracker, order, engine);
        }
        tracker.onSend(order, engine);
        this.lastOrderAt.set(tracker, performance.now());
        const { kind, model, adapter, expectedAcceptedOrders, epoch } = order;
        const fields = { runner: tracker.server.id, kind, model, adapter, expected: expectedAcceptedOrders, epoch };
        const isModelLoad = kind === RunnerOrderKind.Load && adapter === undefined;
        const isWeightStoreLoad = tracker.pendingOrder === undefined && isModelLoad && tracker.loadsFromWeightStore(model);
        const isAcquired = await this.lease.acquireRunnerLease(tracker.server.id, isWeightStoreLoad, isModelLoad);
        if (!isAcquired || !this.gateway.availability.mayCall(tracker.server)) {
            tracker.onNotSent();
            return RunnerOrderAnswer.Conflict;
        }
        emit(EventId.OrderSent, { ...fields, reason });
        let answer = RunnerOrderAnswer.Unknown;
        try {
            answer = await this.runners.order(tracker.server, order);
        }
        catch (err) {
            emit(EventId.OrderUnanswered, { ...fields, detail: toFailure(err).detail });
        }
        tracker.onAnswer(order, answer, engine);
        if (answer !== RunnerOrderAnswer.Unknown && answer !== RunnerOrderAnswer.Accepted && answer !== RunnerOrderAnswer.Done) {
            emit(EventId.OrderRefused, { ...fields, answer });
        }
        return answer;
    }
}

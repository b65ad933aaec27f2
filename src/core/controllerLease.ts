import type { ControllerRow, DurableCrashes, DurableLoads, LeaseYield } from "../types/controllerLease";
import { EventId } from "../types/eventId";
import type { RowName, RowStore } from "../types/rowStore";
import { TransactionKind } from "../types/rowStore";
import type { StoreVersion } from "../types/storeVersion";
import { eraOf } from "../types/storeVersion";
import { readClocks } from "../utils/clockReading";
import { emit } from "../utils/events";
import type { LeaseCandidate, LeaseRules, PendingRunnerLease } from "./controllerRow";
import { nextControllerRow, storedCrashesOf, storedLoadsOf } from "./controllerRow";
import { LeaseVacancy } from "./leaseVacancy";
import { LeaseView, noEpoch } from "./leaseView";

const noCrashes: DurableCrashes = { durable: [], add: () => undefined };
const noLoads: DurableLoads = { durable: [], add: () => undefined };

const rowName: RowName = { table: "jackdawtrail", part: "", key: "controller" };

/**
 * The lease of the node that controls the runners. Its epoch is the row's version at the takeover: unique, and increasing
 * with each holder and era of the store. Before an order is sent, the row records a runner lease: the runner, and the time until which the order
 * may arrive. A successor takes over at once and waits only for runners whose runner lease is in force or ended less than
 * `turnGapMs` ago.
 */
export class ControllerLease {
    private readonly view: LeaseView;
    private wasHeld = false;
    private requests: PendingRunnerLease[] = [];
    /** The newest queued operation; operations run one by one, each from the row version that the one before it left. */
    private lastOperation: Promise<unknown> = Promise.resolve();

    private constructor(
        private readonly store: RowStore,
        private readonly self: LeaseCandidate,
        private readonly rules: LeaseRules,
        private readonly vacancy: LeaseVacancy,
        private readonly crashes: DurableCrashes,
        private readonly loads: DurableLoads,
    ) {
        this.view = LeaseView.create(self, rules);
    }

    static create(
        store: RowStore,
        self: LeaseCandidate,
        rules: LeaseRules,
        vacancy = LeaseVacancy.create(() => 0),
        crashes: DurableCrashes = noCrashes,
        loads: DurableLoads = noLoads,
    ): ControllerLease {
        return new ControllerLease(store, self, rules, vacancy, crashes, loads);
    }

    /** The epoch while the lease is certainly held by this process, undefined otherwise. */
    get heldEpoch(): number | undefined {
        return this.view.heldEpoch;
    }

    /** Sent to peers by a holder whose lease expired because it could not renew it, so that a successor need not wait. */
    get yielding(): LeaseYield | undefined {
        const { isOwn, epoch, seen } = this.view;
        return isOwn && this.heldEpoch === undefined && epoch !== noEpoch ? { version: seen!.version } : undefined;
    }

    /** Records a holder's statement that it sends no more orders. */
    onYield(statement: LeaseYield): void {
        this.view.onYield(statement);
    }

    /** Address at which peers reach the holder, as last seen. */
    get holderAddress(): string | undefined {
        return this.view.seen?.row?.isReleased === false ? this.view.seen.row.peerAddress : undefined;
    }

    /** Version of the row as last seen. */
    get seenVersion(): StoreVersion | undefined {
        return this.view.seen?.version;
    }

    /** Ages of the loads from the weight store that started within the last `loadWindowMs`, by any holder. */
    get weightStoreLoadAges(): readonly number[] {
        const { earliestMs } = this.view.clock;
        return (this.view.seen?.row?.storeLoads ?? []).map(startedAt => Math.max(0, earliestMs - startedAt));
    }

    /** Whether orders may be sent to a runner: the lease is held, and no other holder's order can have reached the runner within the last `turnGapMs`. */
    mayOrder(runner: string): boolean {
        return this.view.mayOrder(runner);
    }

    /**
     * Requests a runner lease; true when an order may be sent at once. The load of a model is written to the row in any case, so that the next holder knows it if
     * this one does not live to see the answer.
     */
    acquireRunnerLease(runner: string, isWeightStoreLoad: boolean, isModelLoad = isWeightStoreLoad): Promise<boolean> {
        if (!this.mayOrder(runner)) {
            return Promise.resolve(false);
        }
        if (!isModelLoad && this.view.hasRunnerLease(runner)) {
            return Promise.resolve(true);
        }
        return new Promise(resolve => {
            if (this.requests.push({ runner, isWeightStoreLoad, resolve }) === 1) {
                void this.runExclusively(() => this.grantRunnerLeases());
            }
        });
    }

    /** Renews the lease while it is held; otherwise reads the row, and takes the lease over if that is allowed. */
    tick(): Promise<void> {
        return this.runExclusively(async () => {
            if (this.view.isReleased || this.view.isRecentlyRenewed) {
                return;
            }
            this.logLoss();
            if (this.heldEpoch === undefined) {
                await this.read();
            }
            this.vacancy.update(this.view.isVacant);
            if (this.view.isOwn || this.vacancy.takeoverInMs === 0) {
                await this.writeWithRetry([]);
            }
        });
    }

    /** Releases the lease for good; a successor need not wait until it expires. */
    release(): Promise<void> {
        return this.runExclusively(async () => {
            const wasHeld = this.heldEpoch !== undefined;
            this.view.isReleased = true;
            if (wasHeld) {
                await this.write([], true);
            }
        });
    }

    /** Gives the lease to whoever takes it next; this process may take it again when it is vacant. */
    handOver(): Promise<void> {
        return this.runExclusively(async () => {
            if (this.heldEpoch !== undefined) {
                await this.write([], true);
            }
        });
    }

    private runExclusively<T>(operation: () => Promise<T>): Promise<T> {
        const done = this.lastOperation.then(operation);
        this.lastOperation = done.catch(() => undefined);
        return done;
    }

    /** Writes all requested runner leases in one transaction. */
    private async grantRunnerLeases(): Promise<void> {
        const requests = this.requests;
        this.requests = [];
        try {
            if (this.heldEpoch !== undefined) {
                await this.writeWithRetry(requests);
            }
        }
        catch (err) {
            emit(EventId.RunnerLeasesUnwritten, { runners: requests.map(({ runner }) => runner), detail: err instanceof Error ? err.message : String(err) });
        }
        requests.forEach(({ runner, resolve }) => resolve(this.view.hasRunnerLease(runner)));
    }

    private async read(): Promise<void> {
        const requestedAt = readClocks();
        const { row, version, nowMs } = await this.store.readRow(rowName);
        this.view.clock.onAnswer(nowMs, requestedAt);
        this.view.onRead(row, version);
        this.addStoredFacts(this.view.seen?.row);
    }

    /** Adds what a row keeps: all nodes that knew it may have been restarted. */
    private addStoredFacts(row: ControllerRow | undefined): void {
        storedCrashesOf(row, this.view.clock).forEach(crash => this.crashes.add(crash));
        storedLoadsOf(row, this.view.clock).forEach(load => this.loads.add(load));
    }

    /** Writes the row, and once more if an earlier write of this process took effect although its answer was lost. */
    private async writeWithRetry(requests: readonly PendingRunnerLease[]): Promise<void> {
        const isWritten = await this.write(requests, false);
        if (!isWritten && this.view.isOwn) {
            await this.write(requests, false);
        }
    }

    /** Writes the row; false if its version was not the expected one. */
    private async write(requests: readonly PendingRunnerLease[], isReleased: boolean): Promise<boolean> {
        const requestedAt = readClocks();
        const expected = this.view.seen!.version;
        const facts = { crashes: this.crashes.durable, loads: this.loads.durable };
        const row = nextControllerRow(this.view.seen!, this.self, this.view.clock, requests, isReleased, facts, this.rules);
        const result = await this.store.transact({
            conditions: [{ ...rowName, version: expected }],
            puts: [{ ...rowName, value: Buffer.from(JSON.stringify(row)) }],
        });
        if (result.kind === TransactionKind.Outdated) {
            await this.read();
            return false;
        }
        if (result.nowMs !== undefined) {
            this.view.clock.onAnswer(result.nowMs, requestedAt);
        }
        if (result.kind === TransactionKind.Conflict) {
            this.view.onRead(result.rows[0], result.version);
            this.addStoredFacts(this.view.seen?.row);
            this.logLoss();
            return false;
        }
        this.view.onRow(row, result.version);
        if (eraOf(result.version) !== eraOf(expected)) {
            // The store was restored in between: the condition held for the row of the copy, or for another one by coincidence.
            return false;
        }
        if (isReleased) {
            this.wasHeld = false;
            emit(EventId.LeaseLost, { epoch: this.view.epoch, reason: "released" });
            this.view.epoch = noEpoch;
            return true;
        }
        if (this.view.epoch === noEpoch) {
            this.view.epoch = result.version;
        }
        if (!this.wasHeld) {
            // While the row is this process's own, no other process can have held the lease: the epoch stays.
            const reason = this.view.epoch === result.version ? "taken over" : "renewed after it expired";
            emit(EventId.LeaseTaken, { epoch: this.view.epoch, expected, reason, turns: Object.keys(row.turns).length });
        }
        this.wasHeld = true;
        return true;
    }

    /** Logs once that the lease is no longer held. */
    private logLoss(): void {
        if (this.wasHeld && this.heldEpoch === undefined) {
            this.wasHeld = false;
            const reason = this.view.isOwn ? "expired" : "taken";
            emit(EventId.LeaseLost, { epoch: this.view.epoch, holder: this.view.seen?.row?.holder, rowVersion: this.view.seen?.version, reason });
        }
    }
}

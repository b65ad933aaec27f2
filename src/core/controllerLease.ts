import type { ControllerRow, DurableCrashes, LeaseYield } from "../types/controllerLease";
import { EventId } from "../types/eventId";
import type { RowName, RowStore } from "../types/rowStore";
import { TransactionKind } from "../types/rowStore";
import { absentVersionIn } from "../types/storeVersion";
import { readClocks } from "../utils/clockReading";
import { emit } from "../utils/events";
import type { LeaseCandidate, LeaseRules, PendingRunnerLease, SeenRow } from "./controllerRow";
import { controllerLeaseTtlMs, decodeControllerRow, maxOrderDeliveryMs, nextControllerRow, storedCrashesOf } from "./controllerRow";
import { LeaseVacancy } from "./leaseVacancy";
import { StoreClock } from "./storeClock";

/** A tick renews the lease only if the last renewal is at least this old. */
const minRenewalAgeMs = 400;

const noEpoch = 0;
const noCrashes: DurableCrashes = { durable: [], add: () => undefined };

const rowName: RowName = { table: "jackdawtrail", part: "", key: "controller" };

/**
 * The lease of the node that controls the runners. Its epoch is the row's version at the takeover: unique, and increasing
 * with each holder. Before an order is sent, the row records a runner lease: the runner, and the time until which the order
 * may arrive. A successor takes over at once and waits only for runners whose runner lease is in force or ended less than
 * `turnGapMs` ago.
 */
export class ControllerLease {
    private readonly clock = StoreClock.create();
    private seen: SeenRow | undefined;
    private epoch = noEpoch;
    private isEnded = false;
    private wasHeld = false;
    private yieldedVersion: number | undefined;
    private requests: PendingRunnerLease[] = [];
    /** The newest queued operation; operations run one by one, each from the row version that the one before it left. */
    private lastOperation: Promise<unknown> = Promise.resolve();

    private constructor(
        private readonly store: RowStore,
        private readonly self: LeaseCandidate,
        private readonly rules: LeaseRules,
        private readonly vacancy: LeaseVacancy,
        private readonly crashes: DurableCrashes,
    ) {}

    static create(
        store: RowStore,
        self: LeaseCandidate,
        rules: LeaseRules,
        vacancy = LeaseVacancy.create(() => 0),
        crashes: DurableCrashes = noCrashes,
    ): ControllerLease {
        return new ControllerLease(store, self, rules, vacancy, crashes);
    }

    /** The epoch while the lease is certainly held by this process, undefined otherwise. */
    get heldEpoch(): number | undefined {
        return !this.isEnded && this.isOwn && this.epoch !== noEpoch && this.clock.latestMs < this.seen!.row!.untilMs ? this.epoch : undefined;
    }

    /** Sent to peers by a holder whose lease expired because it could not renew it, so that a successor need not wait. */
    get yielding(): LeaseYield | undefined {
        return this.isOwn && this.heldEpoch === undefined && this.epoch !== noEpoch ? { version: this.seen!.version } : undefined;
    }

    /** Records a holder's statement that it sends no more orders. */
    onYield({ version }: LeaseYield): void {
        this.yieldedVersion = version;
    }

    /** Address at which peers reach the holder, as last seen. */
    get holderAddress(): string | undefined {
        return this.seen?.row?.isReleased === false ? this.seen.row.peerAddress : undefined;
    }

    /** Version of the row as last seen. */
    get seenVersion(): number | undefined {
        return this.seen?.version;
    }

    /** Ages of the loads from the weight store that started within the last `loadWindowMs`, by any holder. */
    get weightStoreLoadAges(): readonly number[] {
        const { earliestMs } = this.clock;
        return (this.seen?.row?.storeLoads ?? []).map(startedAt => Math.max(0, earliestMs - startedAt));
    }

    /** Whether orders may be sent to a runner: the lease is held, and no other holder's order can have reached the runner within the last `turnGapMs`. */
    mayOrder(runner: string): boolean {
        const runnerLease = this.seen?.row?.turns[runner];
        const isAvailable = !runnerLease || runnerLease.holder === this.self.holder || this.clock.earliestMs >= runnerLease.untilMs + this.rules.turnGapMs;
        return this.heldEpoch !== undefined && isAvailable;
    }

    /** Requests a runner lease; true when an order may be sent at once. */
    acquireRunnerLease(runner: string, isWeightStoreLoad: boolean): Promise<boolean> {
        if (!this.mayOrder(runner)) {
            return Promise.resolve(false);
        }
        if (!isWeightStoreLoad && this.hasRunnerLease(runner)) {
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
            if (this.isEnded || this.isRecentlyRenewed) {
                return;
            }
            this.logLoss();
            if (this.heldEpoch === undefined) {
                await this.read();
            }
            this.vacancy.update(this.seen !== undefined && !this.isOwn && this.isVacant(this.seen));
            if (this.isOwn || this.vacancy.takeoverInMs === 0) {
                await this.writeWithRetry([]);
            }
        });
    }

    /** Releases the lease for good; a successor need not wait until it expires. */
    release(): Promise<void> {
        return this.runExclusively(async () => {
            const wasHeld = this.heldEpoch !== undefined;
            this.isEnded = true;
            if (wasHeld) {
                await this.write([], true);
            }
        });
    }

    private get isOwn(): boolean {
        return this.seen?.row?.boot === this.self.boot && !this.seen.row.isReleased;
    }

    /** Whether the lease was renewed less than `minRenewalAgeMs` ago. */
    private get isRecentlyRenewed(): boolean {
        return this.heldEpoch !== undefined && this.clock.latestMs < this.seen!.row!.untilMs - controllerLeaseTtlMs + minRenewalAgeMs;
    }

    private hasRunnerLease(runner: string): boolean {
        const runnerLease = this.seen?.row?.turns[runner];
        return this.heldEpoch !== undefined && runnerLease?.holder === this.self.holder && this.clock.latestMs + maxOrderDeliveryMs <= runnerLease.untilMs;
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
        requests.forEach(({ runner, resolve }) => resolve(this.hasRunnerLease(runner)));
    }

    private async read(): Promise<void> {
        const requestedAt = readClocks();
        const { row, version, nowMs } = await this.store.readRow(rowName);
        this.clock.onAnswer(nowMs, requestedAt);
        this.setSeenRow(decodeControllerRow(row), row?.version ?? absentVersionIn(version));
    }

    private setSeenRow(row: ControllerRow | undefined, version: number): void {
        if (row?.boot !== this.self.boot) {
            this.epoch = noEpoch;
        }
        this.seen = { row, version };
        // All nodes that knew these crashes may have been restarted.
        storedCrashesOf(row, this.clock).forEach(crash => this.crashes.add(crash));
    }

    private isVacant({ row, version }: SeenRow): boolean {
        return !row || row.isReleased || row.holder === this.self.holder || this.yieldedVersion === version || this.clock.earliestMs >= row.untilMs;
    }

    /** Writes the row, and once more if an earlier write of this process took effect although its answer was lost. */
    private async writeWithRetry(requests: readonly PendingRunnerLease[]): Promise<void> {
        const isWritten = await this.write(requests, false);
        if (!isWritten && this.isOwn) {
            await this.write(requests, false);
        }
    }

    /** Writes the row; false if its version was not the expected one. */
    private async write(requests: readonly PendingRunnerLease[], isReleased: boolean): Promise<boolean> {
        const requestedAt = readClocks();
        const expected = this.seen!.version;
        const row = nextControllerRow(this.seen!.row, this.self, this.clock, requests, isReleased, this.crashes.durable, this.rules);
        const result = await this.store.transact({
            conditions: [{ ...rowName, version: expected }],
            puts: [{ ...rowName, value: Buffer.from(JSON.stringify(row)) }],
        });
        if (result.kind === TransactionKind.Outdated) {
            await this.read();
            return false;
        }
        if (result.nowMs !== undefined) {
            this.clock.onAnswer(result.nowMs, requestedAt);
        }
        if (result.kind === TransactionKind.Conflict) {
            const current = result.rows[0];
            this.setSeenRow(decodeControllerRow(current), current?.version ?? absentVersionIn(result.version));
            this.logLoss();
            return false;
        }
        this.setSeenRow(row, result.version);
        if (isReleased) {
            this.wasHeld = false;
            emit(EventId.LeaseLost, { epoch: this.epoch, reason: "released" });
            return true;
        }
        if (this.epoch === noEpoch) {
            this.epoch = result.version;
        }
        if (!this.wasHeld) {
            // While the row is this process's own, no other process can have held the lease: the epoch stays.
            const reason = this.epoch === result.version ? "taken over" : "renewed after it expired";
            emit(EventId.LeaseTaken, { epoch: this.epoch, expected, reason, turns: Object.keys(row.turns).length });
        }
        this.wasHeld = true;
        return true;
    }

    /** Logs once that the lease is no longer held. */
    private logLoss(): void {
        if (this.wasHeld && this.heldEpoch === undefined) {
            this.wasHeld = false;
            const reason = this.isOwn ? "expired" : "taken";
            emit(EventId.LeaseLost, { epoch: this.epoch, holder: this.seen?.row?.holder, rowVersion: this.seen?.version, reason });
        }
    }
}

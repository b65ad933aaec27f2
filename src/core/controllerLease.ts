import type { ControllerRow, LeaseYield } from "../types/controllerLease";
import { EventId } from "../types/eventId";
import type { RowName, RowStore } from "../types/rowStore";
import { TransactionKind } from "../types/rowStore";
import { readClocks } from "../utils/clockReading";
import { emit } from "../utils/events";
import type { LeaseCandidate, LeaseRules, RunnerLeaseRequest } from "./controllerRow";
import { controllerLeaseTtlMs, decodeControllerRow, maxOrderDeliveryMs, nextControllerRow } from "./controllerRow";
import { StoreClock } from "./storeClock";

/** A renewal younger than this is not repeated. */
const renewalAgeMs = 400;

const noEpoch = 0;

const rowName: RowName = { table: "jackdawtrail", part: "", key: "controller" };

interface SeenRow {
    readonly row: ControllerRow | undefined;
    readonly version: number;
}

/** A request for a turn at a runner. */
interface TurnRequest extends RunnerLeaseRequest {
    readonly resolve: (isGranted: boolean) => void;
}

/**
 * The lease of the node that controls runners. Its epoch is the row's version at the takeover: unique, and rising with
 * each holder. Before an order leaves, the row names the runner and the time until which the order may arrive; a
 * successor takes over at once and leaves only the runners alone that were named within the last turn gap.
 */
export class ControllerLease {
    private readonly clock = StoreClock.create();
    private seen: SeenRow | undefined;
    private epoch = noEpoch;
    private isEnded = false;
    private wasHeld = false;
    private yieldedVersion: number | undefined;
    private requests: TurnRequest[] = [];
    /** The write in progress; each write starts from the version that the one before it left. */
    private lastWrite: Promise<unknown> = Promise.resolve();

    private constructor(private readonly store: RowStore, private readonly self: LeaseCandidate, private readonly rules: LeaseRules) {}

    /** Makes a lease that is not held. */
    static create(store: RowStore, self: LeaseCandidate, rules: LeaseRules): ControllerLease {
        return new ControllerLease(store, self, rules);
    }

    /** The epoch while the lease is surely held, undefined otherwise. */
    get heldEpoch(): number | undefined {
        return !this.isEnded && this.isOwn && this.epoch !== noEpoch && this.clock.latestMs < this.seen!.row!.untilMs ? this.epoch : undefined;
    }

    /** What a holder that could not renew tells its peers. */
    get yielding(): LeaseYield | undefined {
        return this.isOwn && this.heldEpoch === undefined && this.epoch !== noEpoch ? { version: this.seen!.version } : undefined;
    }

    /** Takes a holder's statement that it has stopped. */
    onYield({ version }: LeaseYield): void {
        this.yieldedVersion = version;
    }

    /** Where peers reach the holder, as last seen. */
    get holderAddress(): string | undefined {
        return this.seen?.row?.isReleased === false ? this.seen.row.peerAddress : undefined;
    }

    /** Version of the row as last seen. */
    get seenVersion(): number | undefined {
        return this.seen?.version;
    }

    /** Ages of the loads from the weight store that began within the last window, by any holder. */
    get weightStoreLoadAges(): readonly number[] {
        const { earliestMs } = this.clock;
        return (this.seen?.row?.storeLoads ?? []).map(at => Math.max(0, earliestMs - at));
    }

    /** Whether orders to a runner may leave: no other holder's order can have reached it within the turn gap. */
    mayOrder(runner: string): boolean {
        const turn = this.seen?.row?.turns[runner];
        const isFree = !turn || turn.holder === this.self.holder || this.clock.earliestMs >= turn.untilMs + this.rules.turnGapMs;
        return this.heldEpoch !== undefined && isFree;
    }

    /** Asks for a turn at a runner; true when an order may leave at once. */
    acquireRunnerLease(runner: string, isStoreLoad: boolean): Promise<boolean> {
        if (!this.mayOrder(runner)) {
            return Promise.resolve(false);
        }
        if (!isStoreLoad && this.hasTurn(runner)) {
            return Promise.resolve(true);
        }
        return new Promise(resolve => {
            if (this.requests.push({ runner, isWeightStoreLoad: isStoreLoad, resolve }) === 1) {
                void this.exclusively(() => this.grantTurns());
            }
        });
    }

    /** Renews the lease while it is held; otherwise reads the row and takes the lease over where that is allowed. */
    tick(): Promise<void> {
        return this.exclusively(async () => {
            if (this.isEnded || this.isFresh) {
                return;
            }
            this.noteLapse();
            if (this.heldEpoch === undefined) {
                await this.read();
            }
            if (this.seen && (this.isOwn || this.mayTakeOver(this.seen))) {
                await this.writeAgainIfOwn([]);
            }
        });
    }

    /** Gives the lease up for good; a successor need not wait until it lapses. */
    release(): Promise<void> {
        return this.exclusively(async () => {
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

    /** Whether the lease was renewed a moment ago. */
    private get isFresh(): boolean {
        return this.heldEpoch !== undefined && this.clock.latestMs < this.seen!.row!.untilMs - controllerLeaseTtlMs + renewalAgeMs;
    }

    private hasTurn(runner: string): boolean {
        const turn = this.seen?.row?.turns[runner];
        return this.heldEpoch !== undefined && turn?.holder === this.self.holder && this.clock.latestMs + maxOrderDeliveryMs <= turn.untilMs;
    }

    private exclusively<T>(step: () => Promise<T>): Promise<T> {
        const done = this.lastWrite.then(step);
        this.lastWrite = done.catch(() => undefined);
        return done;
    }

    /** Writes all turns that are asked for in one transaction. */
    private async grantTurns(): Promise<void> {
        const requests = this.requests;
        this.requests = [];
        try {
            if (this.heldEpoch !== undefined) {
                await this.writeAgainIfOwn(requests);
            }
        }
        catch (err) {
            emit(EventId.RunnerLeasesUnwritten, { runners: requests.map(({ runner }) => runner), detail: err instanceof Error ? err.message : String(err) });
        }
        requests.forEach(({ runner, resolve }) => resolve(this.hasTurn(runner)));
    }

    private async read(): Promise<void> {
        const askedAt = readClocks();
        const { row, nowMs } = await this.store.readRow(rowName);
        this.clock.onAnswer(nowMs, askedAt);
        this.see(decodeControllerRow(row), row?.version ?? 0);
    }

    private see(row: ControllerRow | undefined, version: number): void {
        if (row?.boot !== this.self.boot) {
            this.epoch = noEpoch;
        }
        this.seen = { row, version };
    }

    private mayTakeOver({ row, version }: SeenRow): boolean {
        return !row || row.isReleased || row.holder === this.self.holder || this.yieldedVersion === version || this.clock.earliestMs >= row.untilMs;
    }

    /** Writes the row; once more where an earlier write of this process took effect without an answer. */
    private async writeAgainIfOwn(requests: readonly TurnRequest[]): Promise<void> {
        const isDone = await this.write(requests, false);
        if (!isDone && this.isOwn) {
            await this.write(requests, false);
        }
    }

    /** Writes the row; false where another version was there. */
    private async write(requests: readonly TurnRequest[], isReleased: boolean): Promise<boolean> {
        const askedAt = readClocks();
        const expected = this.seen!.version;
        const row = nextControllerRow(this.seen!.row, this.self, this.clock, requests, isReleased, this.rules);
        const result = await this.store.transact({
            conditions: [{ ...rowName, version: expected }],
            puts: [{ ...rowName, value: Buffer.from(JSON.stringify(row)) }],
        });
        if (result.nowMs !== undefined) {
            this.clock.onAnswer(result.nowMs, askedAt);
        }
        if (result.kind === TransactionKind.Conflict) {
            const current = result.rows[0];
            this.see(decodeControllerRow(current), current?.version ?? 0);
            this.noteLapse();
            return false;
        }
        this.see(row, result.version);
        if (isReleased) {
            this.wasHeld = false;
            emit(EventId.LeaseLost, { epoch: this.epoch, reason: "released" });
            return true;
        }
        if (this.epoch === noEpoch) {
            this.epoch = result.version;
        }
        if (!this.wasHeld) {
            // While the row is this process's own, nobody else can have held the lease: the epoch stays.
            const reason = this.epoch === result.version ? "taken over" : "renewed after it lapsed";
            emit(EventId.LeaseTaken, { epoch: this.epoch, expected, reason, turns: Object.keys(row.turns).length });
        }
        this.wasHeld = true;
        return true;
    }

    /** Logs that the lease is no longer held. */
    private noteLapse(): void {
        if (this.wasHeld && this.heldEpoch === undefined) {
            this.wasHeld = false;
            emit(EventId.LeaseLost, {
                epoch: this.epoch,
                holder: this.seen?.row?.holder,
                rowVersion: this.seen?.version,
                reason: this.isOwn ? "lapsed" : "taken",
            });
        }
    }
}

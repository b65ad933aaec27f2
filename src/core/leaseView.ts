import type { ControllerRow, LeaseYield } from "../types/controllerLease";
import type { StoredRow } from "../types/rowStore";
import type { StoreVersion } from "../types/storeVersion";
import { absentVersionIn, eraOf } from "../types/storeVersion";
import type { LeaseCandidate, LeaseRules, SeenRow } from "./controllerRow";
import { controllerLeaseTtlMs, decodeControllerRow, isGapOver, maxOrderDeliveryMs } from "./controllerRow";
import { isOfCurrentEra, RestoredRow } from "./restoredRow";
import { StoreClock } from "./storeClock";

/** A renewal is due once the last one is at least this old. */
const minRenewalAgeMs = 400;

export const noEpoch = 0;

/** What this process knows of the controller lease: the row as last read or written, the store's clock, and its own epoch. */
export class LeaseView {
    readonly clock = StoreClock.create();
    private readonly restoredRow = RestoredRow.create();
    seen: SeenRow | undefined;
    epoch = noEpoch;
    /** Whether this process has released the lease for good. */
    isReleased = false;
    private yieldedVersion: StoreVersion | undefined;

    private constructor(private readonly self: LeaseCandidate, private readonly rules: LeaseRules) {}

    /** Creates the view of a process that has not read the row. */
    static create(self: LeaseCandidate, rules: LeaseRules): LeaseView {
        return new LeaseView(self, rules);
    }

    /** Whether the row names this process as the holder. */
    get isOwn(): boolean {
        return this.seen?.row?.boot === this.self.boot && !this.seen.row.isReleased;
    }

    /** The epoch while the lease is certainly held by this process, undefined otherwise. */
    get heldEpoch(): number | undefined {
        return !this.isReleased && this.isOwn && this.epoch !== noEpoch && this.clock.latestMs < this.seen!.row!.untilMs ? this.epoch : undefined;
    }

    /** Whether the lease is held and was renewed less than `minRenewalAgeMs` ago. */
    get isRecentlyRenewed(): boolean {
        return this.heldEpoch !== undefined && this.clock.latestMs < this.seen!.row!.untilMs - controllerLeaseTtlMs + minRenewalAgeMs;
    }

    /** Whether another process may take the lease from its last holder. */
    get isVacant(): boolean {
        if (!this.seen || this.isOwn) {
            return false;
        }
        const { row, version } = this.seen;
        return !row || row.isReleased || row.holder === this.self.holder || this.yieldedVersion === version || this.clock.earliestMs >= row.untilMs;
    }

    /** Whether orders may be sent to a runner: the lease is held, and no other holder's order can have reached the runner within the last `turnGapMs`. */
    mayOrder(runner: string): boolean {
        return this.heldEpoch !== undefined && isGapOver(this.seen!.row!, runner, this.self.holder, this.clock, this.rules);
    }

    /** Whether the row records that this process may send an order to a runner now. */
    hasRunnerLease(runner: string): boolean {
        const runnerLease = this.seen?.row?.turns[runner];
        return this.heldEpoch !== undefined && runnerLease?.holder === this.self.holder && this.clock.latestMs + maxOrderDeliveryMs <= runnerLease.untilMs;
    }

    /** Records a holder's statement that it sends no more orders. */
    onYield({ version }: LeaseYield): void {
        this.yieldedVersion = version;
    }

    /** Records the row as the store returned it, and the newest version of the store. */
    onRead(stored: StoredRow | undefined, newest: StoreVersion): void {
        this.onRow(decodeControllerRow(stored), stored?.version ?? absentVersionIn(newest));
    }

    /** Records the row with its version. */
    onRow(stored: ControllerRow | undefined, version: StoreVersion): void {
        const row = isOfCurrentEra(stored, version) ? stored : this.rowAfterRestore(stored, version);
        if (row?.boot !== this.self.boot || eraOf(version) !== eraOf(this.epoch)) {
            this.epoch = noEpoch;
        }
        this.seen = { row, version };
    }

    /** The row to go on from after a restore: the last one of this process if it still holds the lease, so that no other can have sent orders. */
    private rowAfterRestore(stored: ControllerRow | undefined, version: StoreVersion): ControllerRow {
        const known = this.seen?.row;
        return this.heldEpoch !== undefined ? { ...known!, era: eraOf(version) } : this.restoredRow.replace(stored, known, version, this.clock);
    }
}

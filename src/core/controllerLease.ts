import type { ControllerRow, LeaseYield } from "../types/controllerLease";
import { EventId } from "../types/eventId";
import type { RowName, RowStore, StoredRow } from "../types/rowStore";
import { TransactionKind } from "../types/rowStore";
import { emit } from "../utils/events";
import type { Moment } from "../utils/stopwatch";
import { longestSince, takeMoment } from "../utils/stopwatch";

/** Time for which a renewal counts. */
export const controllerTtlMs = 1_900;
/** An order that has left arrives, or fails, within this time. */
export const maxOrderMs = 500;
/** An order longer ago than this is as good as none. */
const maxAgoMs = 3_600_000;

const noEpoch = 0;

const rowName: RowName = { table: "jackdawtrail", part: "", key: "controller" };

/** Who asks for the lease. */
export type LeaseHolder = Pick<ControllerRow, "holder" | "boot" | "peerAddress">;

/** What a node knows of the lease row. */
interface SeenRow {
    readonly row: ControllerRow | undefined;
    readonly version: number;
    /** When this version was first seen, on the monotonic clock. */
    readonly since: number;
}

const decodeRow = (row: StoredRow | undefined): ControllerRow | undefined => row?.value ? JSON.parse(row.value.toString()) as ControllerRow : undefined;

/**
 * The lease of the node that controls runners. Its epoch is the row's version at the takeover: unique, and rising with
 * each holder. A successor waits until the holder's last order is at least one turn gap old.
 */
export class ControllerLease {
    private seen: SeenRow | undefined;
    private epoch = noEpoch;
    private renewedAt: Moment | undefined;
    private heard: { readonly version: number; readonly at: number; } | undefined;
    private isEnded = false;
    private openOrders = 0;
    private lastOrderAt = Number.NEGATIVE_INFINITY;
    /** A holder's statement that it has stopped: the row's version, and its last order on this node's monotonic clock. */
    private yielded: { readonly version: number; readonly lastOrderAt: number; } | undefined;

    private constructor(
        private readonly store: RowStore,
        private readonly self: LeaseHolder,
        private readonly turnGapMs: number,
    ) {}

    /** Makes a lease that is not held. */
    static create(store: RowStore, self: LeaseHolder, turnGapMs: number): ControllerLease {
        return new ControllerLease(store, self, turnGapMs);
    }

    /** The epoch while the lease is surely held, undefined otherwise. */
    get heldEpoch(): number | undefined {
        return this.renewedAt && longestSince(this.renewedAt) < controllerTtlMs - maxOrderMs ? this.epoch : undefined;
    }

    /** Notes that an order leaves now; it may arrive until its end is noted. */
    onOrderStart(): void {
        this.openOrders++;
    }

    /** Notes that an order was answered, or given up. */
    onOrderEnd(): void {
        this.openOrders--;
        this.lastOrderAt = performance.now();
    }

    /** Age of the last order's arrival; below 0 while one is on its way. */
    private get lastOrderAgoMs(): number {
        return this.openOrders > 0 ? -maxOrderMs : Math.min(performance.now() - this.lastOrderAt, maxAgoMs);
    }

    /** What a holder that could not renew tells its peers: it sends no more orders under this version of the row. */
    get yielding(): LeaseYield | undefined {
        return this.isOwn && this.heldEpoch === undefined && this.epoch !== noEpoch
            ? { version: this.seen!.version, lastOrderAgoMs: this.lastOrderAgoMs }
            : undefined;
    }

    /** The row's version that this holder wrote last, for peers that wait for the lease. */
    get ownVersion(): number | undefined {
        return this.isOwn ? this.seen?.version : undefined;
    }

    /** Notes that the holder's row had a version just now, as the holder told. */
    onHeard(version: number): void {
        this.heard = { version, at: performance.now() };
    }

    /** Takes a holder's statement that it has stopped. */
    onYield({ version, lastOrderAgoMs }: LeaseYield): void {
        if (this.yielded?.version !== version) {
            this.yielded = { version, lastOrderAt: performance.now() - lastOrderAgoMs };
        }
    }

    /** Where peers reach the holder, as last seen. */
    get holderAddress(): string | undefined {
        return this.seen?.row?.isReleased === false ? this.seen.row.peerAddress : undefined;
    }

    /** Renews the lease while it is held; otherwise reads the row and takes the lease over where that is allowed. */
    async tick(): Promise<void> {
        if (this.isEnded) {
            return;
        }
        if (this.heldEpoch === undefined) {
            await this.read();
        }
        if (this.seen && (this.isOwn || this.mayTakeOver(this.seen))) {
            const isDone = await this.write(false, this.seen.version);
            if (!isDone && this.isOwn) {
                // An earlier write of this process took effect without an answer: the next one starts from it.
                await this.write(false, this.seen.version);
            }
        }
    }

    /** Gives the lease up for good; a successor need not wait until it lapses. */
    async release(): Promise<void> {
        this.isEnded = true;
        if (this.heldEpoch === undefined || !this.seen) {
            return;
        }
        this.renewedAt = undefined;
        await this.write(true, this.seen.version);
    }

    private get isOwn(): boolean {
        return this.seen?.row?.boot === this.self.boot && !this.seen.row.isReleased;
    }

    private async read(): Promise<void> {
        const stored = await this.store.readRow(rowName);
        this.see(decodeRow(stored), stored?.version ?? 0);
    }

    private see(row: ControllerRow | undefined, version: number): void {
        if (row?.boot !== this.self.boot) {
            this.epoch = noEpoch;
        }
        if (this.seen?.version !== version) {
            this.seen = { row, version, since: this.heard?.version === version ? this.heard.at : performance.now() };
        }
    }

    private mayTakeOver({ row, since, version }: SeenRow): boolean {
        if (!row || row.holder === this.self.holder) {
            return true;
        }
        if (this.yielded?.version === version) {
            return performance.now() - this.yielded.lastOrderAt > this.turnGapMs;
        }
        const waitMs = row.isReleased ? this.turnGapMs - (row.lastOrderAgoMs ?? 0) : this.turnGapMs + controllerTtlMs;
        return performance.now() - since > waitMs;
    }

    /** Writes the row; false where another version was there. */
    private async write(isReleased: boolean, expected: number): Promise<boolean> {
        const askedAt = takeMoment();
        const wasHeld = this.heldEpoch !== undefined;
        const lastOrderAgoMs = isReleased ? this.lastOrderAgoMs : undefined;
        const row: ControllerRow = { ...this.self, isReleased, lastOrderAgoMs };
        const result = await this.store.transact({
            conditions: [{ ...rowName, version: expected }],
            puts: [{ ...rowName, value: Buffer.from(JSON.stringify(row)) }],
        });
        if (result.kind === TransactionKind.Conflict) {
            this.onConflict(result.rows[0], wasHeld);
            return false;
        }
        this.see(row, result.version);
        if (isReleased) {
            emit(EventId.LeaseLost, { epoch: this.epoch, reason: "released" });
            return true;
        }
        if (this.epoch === noEpoch) {
            this.epoch = result.version;
        }
        if (!wasHeld) {
            // While the row is this process's own, nobody else can have held the lease: the epoch stays.
            emit(EventId.LeaseTaken, { epoch: this.epoch, expected, reason: this.epoch === result.version ? "taken over" : "renewed after it lapsed" });
        }
        this.renewedAt = askedAt;
        return true;
    }

    private onConflict(current: StoredRow | undefined, wasHeld: boolean): void {
        this.see(decodeRow(current), current?.version ?? 0);
        if (this.isOwn) {
            return;
        }
        this.renewedAt = undefined;
        if (wasHeld) {
            emit(EventId.LeaseLost, { epoch: this.epoch, holder: this.seen?.row?.holder, rowVersion: this.seen?.version });
        }
    }
}

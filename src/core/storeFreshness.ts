import type { ClockReading } from "../utils/clockReading";
import { maxElapsedMs, readClocks } from "../utils/clockReading";

/** Share of the time allowed for applying a change after which a node without a newer confirmation reads the store itself. */
const maxAgeShare = 0.75;

/**
 * Saves reads of the store: the controller reads it and sends all nodes the changes, together with the time since the
 * store confirmed the controller's state. A node reads the store itself once that time is too long, and while it is the
 * controller.
 */
export class StoreFreshness {
    private readonly confirmedAt = new Map<string, number>();
    private controllerConfirmedAt = Number.NEGATIVE_INFINITY;
    private lastContact: ClockReading | undefined;

    private constructor(private readonly isController: () => boolean, private readonly maxAgeMs: () => number, private readonly now: () => number) {}

    /** `maxAgeMs` returns the time within which changes must reach a node. */
    static create(isController: () => boolean, maxAgeMs: () => number, now: () => number = () => performance.now()): StoreFreshness {
        return new StoreFreshness(isController, maxAgeMs, now);
    }

    /** Registers a table that this node follows; the store has not confirmed it yet. */
    follow(table: string): void {
        this.confirmedAt.set(table, Number.NEGATIVE_INFINITY);
    }

    /** Records that the store has returned the changes of a table. */
    onConfirmed(table: string): void {
        this.confirmedAt.set(table, this.now());
        this.onContact(readClocks());
    }

    /** Records a time at which a question was asked that the store or a peer has answered: this node knows what they knew then. */
    onContact(at: ClockReading): void {
        this.lastContact = at;
    }

    /** Whether the store or a peer was in contact lately; if not, this node may be cut off or have stood still, and others may know what it does not. */
    get isInContact(): boolean {
        return this.lastContact !== undefined && maxElapsedMs(this.lastContact) < this.maxAgeMs();
    }

    /** Time since the store confirmed all tables that this node follows, undefined before it has confirmed each. */
    get confirmedAgoMs(): number | undefined {
        const oldest = this.confirmedAt.size === 0 ? Number.NEGATIVE_INFINITY : Math.min(...this.confirmedAt.values());
        return Number.isFinite(oldest) ? this.now() - oldest : undefined;
    }

    /** Time since the store confirmed what this node knows, read by itself or by the peers that told it; undefined if it never did. */
    get knownAgoMs(): number | undefined {
        const byPeersMs = this.now() - this.controllerConfirmedAt;
        const ownMs = this.confirmedAgoMs ?? Number.POSITIVE_INFINITY;
        const agoMs = Math.min(byPeersMs, ownMs);
        return Number.isFinite(agoMs) ? agoMs : undefined;
    }

    /** Whether this node knows, from the store or by way of a peer, what the store had at a time on the monotonic clock. A node that follows no table does not. */
    isAsNewAs(at: number): boolean {
        const { knownAgoMs } = this;
        return knownAgoMs !== undefined && this.now() - knownAgoMs >= at;
    }

    /** Whether this node will learn of changes in the store. */
    get isFollowing(): boolean {
        return this.confirmedAt.size > 0;
    }

    /** Records the answer of a peer to a request sent at `requestedAt`, on the monotonic clock. */
    onPeerConfirmed(confirmedAgoMs: number, requestedAt: number): void {
        this.controllerConfirmedAt = Math.max(this.controllerConfirmedAt, requestedAt - confirmedAgoMs);
    }

    /** Whether the last confirmation by way of a peer spares this node a read of the store. */
    get isFresh(): boolean {
        return !this.isController() && this.now() - this.controllerConfirmedAt < maxAgeShare * this.maxAgeMs();
    }
}

import type { Table } from "../types/table";
import { CommitKind } from "../types/table";
import type { ZoneLeaseRow } from "../types/zoneLease";

/** Duration of a lease. */
export const zoneLeaseTtlMs = 9_000;
/** Safety margin: a holder stops acting this long before its lease expires. */
const leaseMarginMs = 2_000;

/** Row key of the lease on one shard of a zone's runners; in stored keys, the zone controller is called `steward`. */
export const zoneLeaseKey = (availabilityZone: string, shard: number): string => `lease/steward/${availabilityZone}/${shard}`;

/** A lease that this node tries to hold. It determines which node acts; conditional writes and fencing determine which actions take effect. */
export class ZoneLease {
    private row: ZoneLeaseRow | undefined;
    private version = 0;
    private heldUntil = 0;
    private term = 0;

    private constructor(private readonly table: Table, private readonly key: string, private readonly holder: string) {}

    /** Creates a lease that is not held yet. */
    static create(table: Table, key: string, holder: string): ZoneLease {
        return new ZoneLease(table, key, holder);
    }

    /** The term of the lease while it is held, undefined otherwise. */
    get heldTerm(): number | undefined {
        // The monotonic clock may stop while a VM is suspended, and the wall clock may be set: the lease must be valid by both.
        const isFresh = performance.now() < this.heldUntil && Date.now() < (this.row?.expiresAt ?? 0) - leaseMarginMs;
        return isFresh ? this.term : undefined;
    }

    /** Whether another node held the lease when it was last read. */
    get isHeldElsewhere(): boolean {
        return this.row !== undefined && this.row.holder !== this.holder && this.row.expiresAt > Date.now();
    }

    /** Acquires or renews the lease unless another node holds it; returns the term if it is held afterwards. */
    async renew(): Promise<number | undefined> {
        const requestedAt = performance.now();
        if (this.heldTerm === undefined) {
            const row = await this.table.read(this.key);
            this.row = row?.value as ZoneLeaseRow | undefined;
            this.version = row?.version ?? 0;
        }
        const now = Date.now();
        const isOwn = this.row?.holder === this.holder;
        if (this.row && !isOwn && this.row.expiresAt > now) {
            return undefined;
        }
        // An expired lease of this node gets a new term too: another holder may have acted in between.
        const keepsTerm = isOwn && this.heldTerm !== undefined;
        const next: ZoneLeaseRow = { holder: this.holder, term: keepsTerm ? this.term : (this.row?.term ?? 0) + 1, expiresAt: now + zoneLeaseTtlMs };
        const result = await this.table.commit({ conditions: [{ key: this.key, version: this.version }], writes: [{ key: this.key, value: next }] });
        if (result.kind === CommitKind.Conflict) {
            this.heldUntil = 0;
            return undefined;
        }
        this.row = next;
        this.version = result.version;
        this.term = next.term;
        this.heldUntil = requestedAt + zoneLeaseTtlMs - leaseMarginMs;
        return this.term;
    }

    /** Releases the lease, so that the next node need not wait for it to expire. */
    async release(): Promise<void> {
        if (this.heldTerm === undefined || !this.row) {
            return;
        }
        this.heldUntil = 0;
        const value: ZoneLeaseRow = { ...this.row, expiresAt: 0 };
        await this.table.commit({ conditions: [{ key: this.key, version: this.version }], writes: [{ key: this.key, value }] });
    }
}

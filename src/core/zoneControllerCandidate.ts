import type { EngineLookup } from "../types/engine";
import { EventId } from "../types/eventId";
import type { Table } from "../types/table";
import type { ZoneControllerInputs, ZoneControllerOptions } from "../types/zoneController";
import { emit } from "../utils/events";
import { ZoneController } from "./zoneController";
import { ZoneLease, zoneLeaseKey, zoneLeaseTtlMs } from "./zoneLease";

/** One lease covers all runners of a zone. */
const shard = 0;
const renewEveryMs = zoneLeaseTtlMs / 3;

/** Who a node is to other holders. */
export interface ZoneControllerIdentity {
    readonly nodeId: string;
    /** Differs at each start of the process. */
    readonly incarnation: string;
    readonly availabilityZone: string;
}

/** A node's part in the stewardship of its zone: it holds the lease and acts, or stands by. */
export class ZoneControllerCandidate {
    private readonly lease: ZoneLease;
    private readonly self: string;
    private steward: ZoneController | undefined;
    private term: number | undefined;
    private askedAt = -Infinity;
    private lastDrains: readonly string[] = [];
    private readonly past: ZoneController[] = [];

    private constructor(
        private readonly table: Table,
        private readonly identity: ZoneControllerIdentity,
        private readonly engines: EngineLookup,
        private readonly rules: ZoneControllerOptions,
    ) {
        this.lease = ZoneLease.create(table, zoneLeaseKey(identity.availabilityZone, shard), identity.nodeId);
        this.self = `${identity.nodeId}/${identity.incarnation}`;
    }

    /** Makes a node's part; it holds nothing yet. */
    static create(table: Table, identity: ZoneControllerIdentity, engines: EngineLookup, rules: ZoneControllerOptions): ZoneControllerCandidate {
        return new ZoneControllerCandidate(table, identity, engines, rules);
    }

    /** Copies that routing must drop, as `runner artifact`. */
    get drains(): readonly string[] {
        return this.lastDrains;
    }

    /** Name under which the lease's holder is chosen first. */
    static get preferenceKey(): string {
        return `steward ${shard}`;
    }

    /** One step: renews or asks for the lease, and acts where it is held. */
    async tick(isPreferred: boolean, gather: () => ZoneControllerInputs | undefined): Promise<void> {
        await this.renew(isPreferred);
        await this.followTerm();
        const inputs = this.steward && gather();
        if (this.steward && inputs) {
            await this.steward.runRound(inputs);
        }
        // A lapsed lease ends no drain: the copy stays out of routing until another holder decides.
        if (this.steward || this.lease.isHeldElsewhere) {
            this.lastDrains = this.steward?.drains() ?? [];
        }
    }

    /** Hands the lease over. */
    async release(): Promise<void> {
        await this.steward?.abandonPendingOrders();
        await this.lease.release();
    }

    private async renew(isPreferred: boolean): Promise<void> {
        const standbyMs = isPreferred ? 0 : zoneLeaseTtlMs;
        const now = performance.now();
        if (now - this.askedAt < (this.lease.heldTerm === undefined ? standbyMs : renewEveryMs)) {
            return;
        }
        this.askedAt = now;
        await this.lease.renew();
    }

    private async followTerm(): Promise<void> {
        const held = this.lease.heldTerm;
        if (held !== this.term) {
            emit(held === undefined ? EventId.LeaseLost : EventId.LeaseTaken, { term: held ?? this.term });
            if (this.steward) {
                this.past.push(this.steward);
            }
            this.term = held;
            this.steward = held === undefined
                ? undefined
                : ZoneController.create(
                    this.table,
                    this.identity.availabilityZone,
                    held,
                    this.self,
                    this.engines,
                    this.rules,
                    () => this.lease.heldTerm === held,
                );
        }
        while (this.past.length > 0) {
            await this.past[0]!.abandonPendingOrders();
            this.past.shift();
        }
    }
}

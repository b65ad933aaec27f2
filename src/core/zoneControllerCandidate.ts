import type { EngineLookup } from "../types/engine";
import { EventId } from "../types/eventId";
import type { Table } from "../types/table";
import type { ZoneControllerInputs, ZoneControllerOptions } from "../types/zoneController";
import { emit } from "../utils/events";
import { ZoneController } from "./zoneController";
import { ZoneLease, zoneLeaseKey, zoneLeaseTtlMs } from "./zoneLease";

/** One lease covers all runners of a zone, so that there is only one shard. */
const shard = 0;
const renewIntervalMs = zoneLeaseTtlMs / 3;

/** Identifies the process of a node to other candidates. */
export interface ZoneControllerIdentity {
    readonly nodeId: string;
    /** Differs at each start of the process. */
    readonly incarnation: string;
    readonly availabilityZone: string;
}

/** A node's candidacy for zone controller: it holds the zone lease and controls the zone's runners, or stands by. */
export class ZoneControllerCandidate {
    private readonly lease: ZoneLease;
    private readonly processId: string;
    private controller: ZoneController | undefined;
    private term: number | undefined;
    private lastRenewalAt = -Infinity;
    private lastDrains: readonly string[] = [];
    private readonly endedControllers: ZoneController[] = [];

    private constructor(
        private readonly table: Table,
        private readonly identity: ZoneControllerIdentity,
        private readonly engines: EngineLookup,
        private readonly options: ZoneControllerOptions,
    ) {
        this.lease = ZoneLease.create(table, zoneLeaseKey(identity.availabilityZone, shard), identity.nodeId);
        this.processId = `${identity.nodeId}/${identity.incarnation}`;
    }

    /** Creates a candidate that does not hold the lease yet. */
    static create(table: Table, identity: ZoneControllerIdentity, engines: EngineLookup, options: ZoneControllerOptions): ZoneControllerCandidate {
        return new ZoneControllerCandidate(table, identity, engines, options);
    }

    /** Copies that must get no new requests, as `runner artifact`. */
    get drains(): readonly string[] {
        return this.lastDrains;
    }

    /** Hash key by which the preferred holder of the lease is chosen; it must be the same on all nodes, so it keeps the former name of the role. */
    static get preferenceKey(): string {
        return `steward ${shard}`;
    }

    /** One step: renews the lease or tries to acquire it, and runs a control round while it is held. */
    async tick(isPreferred: boolean, gatherInputs: () => ZoneControllerInputs | undefined): Promise<void> {
        await this.renew(isPreferred);
        await this.updateController();
        const inputs = this.controller && gatherInputs();
        if (this.controller && inputs) {
            await this.controller.runRound(inputs);
        }
        // An expired lease does not end a drain: the copy stays out of routing until a node holds the lease again.
        if (this.controller || this.lease.isHeldElsewhere) {
            this.lastDrains = this.controller?.drains() ?? [];
        }
    }

    /** Abandons the pending orders and releases the lease. */
    async release(): Promise<void> {
        await this.controller?.abandonPendingOrders();
        await this.lease.release();
    }

    private async renew(isPreferred: boolean): Promise<void> {
        const acquireIntervalMs = isPreferred ? 0 : zoneLeaseTtlMs;
        const now = performance.now();
        if (now - this.lastRenewalAt < (this.lease.heldTerm === undefined ? acquireIntervalMs : renewIntervalMs)) {
            return;
        }
        this.lastRenewalAt = now;
        await this.lease.renew();
    }

    private async updateController(): Promise<void> {
        const heldTerm = this.lease.heldTerm;
        if (heldTerm !== this.term) {
            emit(heldTerm === undefined ? EventId.LeaseLost : EventId.LeaseTaken, { term: heldTerm ?? this.term });
            if (this.controller) {
                this.endedControllers.push(this.controller);
            }
            this.term = heldTerm;
            this.controller = heldTerm === undefined
                ? undefined
                : ZoneController.create(
                    this.table,
                    this.identity.availabilityZone,
                    heldTerm,
                    this.processId,
                    this.engines,
                    this.options,
                    () => this.lease.heldTerm === heldTerm,
                );
        }
        while (this.endedControllers.length > 0) {
            await this.endedControllers[0]!.abandonPendingOrders();
            this.endedControllers.shift();
        }
    }
}

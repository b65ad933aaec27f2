import type { EngineOf } from "../types/engine";
import { EventId } from "../types/eventId";
import type { StewardInputs, StewardRules } from "../types/stewardship";
import type { Table } from "../types/table";
import { emit } from "../utils/events";
import { Lease, leaseTtlMs, stewardKey } from "./lease";
import { Steward } from "./steward";

/** One lease covers all runners of a zone. */
const shard = 0;
const renewEveryMs = leaseTtlMs / 3;

/** Who a node is to other holders. */
export interface StewardIdentity {
    readonly nodeId: string;
    /** Differs at each start of the process. */
    readonly incarnation: string;
    readonly availabilityZone: string;
}

/** A node's part in the stewardship of its zone: it holds the lease and acts, or stands by. */
export class Stewardship {
    private readonly lease: Lease;
    private readonly self: string;
    private steward: Steward | undefined;
    private term: number | undefined;
    private askedAt = -Infinity;
    private lastDrains: readonly string[] = [];
    private readonly past: Steward[] = [];

    private constructor(
        private readonly table: Table,
        private readonly identity: StewardIdentity,
        private readonly engines: EngineOf,
        private readonly rules: StewardRules,
    ) {
        this.lease = Lease.create(table, stewardKey(identity.availabilityZone, shard), identity.nodeId);
        this.self = `${identity.nodeId}/${identity.incarnation}`;
    }

    /** Makes a node's part; it holds nothing yet. */
    static create(table: Table, identity: StewardIdentity, engines: EngineOf, rules: StewardRules): Stewardship {
        return new Stewardship(table, identity, engines, rules);
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
    async tick(isPreferred: boolean, gather: () => StewardInputs | undefined): Promise<void> {
        await this.renew(isPreferred);
        await this.followTerm();
        const inputs = this.steward && gather();
        if (this.steward && inputs) {
            await this.steward.round(inputs);
        }
        // A lapsed lease ends no drain: the copy stays out of routing until another holder decides.
        if (this.steward || this.lease.isHeldElsewhere) {
            this.lastDrains = this.steward?.drains() ?? [];
        }
    }

    /** Hands the lease over. */
    async release(): Promise<void> {
        await this.steward?.signOff();
        await this.lease.release();
    }

    private async renew(isPreferred: boolean): Promise<void> {
        const standbyMs = isPreferred ? 0 : leaseTtlMs;
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
                : Steward.create(this.table, this.identity.availabilityZone, held, this.self, this.engines, this.rules, () => this.lease.heldTerm === held);
        }
        while (this.past.length > 0) {
            await this.past[0]!.signOff();
            this.past.shift();
        }
    }
}

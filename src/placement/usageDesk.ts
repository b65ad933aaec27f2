import type { UsageContact } from "../core/usageContact";
import type { UsageHomes } from "../core/usageHomes";
import { nodeReserveOf, UsageReserve, zoneReserveOf } from "../core/usageReserve";
import { EventId } from "../types/eventId";
import type { UsageAnswer } from "../types/usageAnswer";
import type { UsageBounds } from "../types/usageBounds";
import type { UsageCharge } from "../types/usageCharge";
import { UsageOutcome } from "../types/usageOutcome";
import type { UsageRequest } from "../types/usageRequest";
import { readClocks } from "../utils/clockReading";
import { emit } from "../utils/events";
import type { UsageRoles } from "./usageRoles";
import type { UsageSender } from "./usageSender";

const unknown: UsageAnswer = { outcome: UsageOutcome.Unknown };

/** What decides on charges at this node. */
export interface UsageDeskParts {
    readonly homes: UsageHomes;
    readonly roles: UsageRoles;
    readonly contact: UsageContact;
    readonly sender: UsageSender;
    readonly bounds: () => UsageBounds;
    /** Called before a charge is decided, so that the limits of the configuration in force are applied. */
    readonly applyLimits: () => void;
}

/** Decides on charges at this node: as the home node of customers, as the deputy of its zone, and alone. */
export class UsageDesk {
    private readonly zoneReserve = UsageReserve.create();
    private readonly ownReserve = UsageReserve.create();

    private constructor(private readonly parts: UsageDeskParts) {}

    static create(parts: UsageDeskParts): UsageDesk {
        return new UsageDesk(parts);
    }

    /** Answers the charges of a peer, in their order. */
    answer({ zone, charges, isFinal }: UsageRequest): Promise<readonly UsageAnswer[]> {
        this.parts.contact.onZone(zone, readClocks());
        return Promise.all(charges.map(charge => isFinal ? this.answerAsHome(charge) : this.answerAsDeputy(charge)));
    }

    /** Decides as the home node of the customer; unknown if this node is not, or may be cut off from its successor. */
    answerAsHome(charge: UsageCharge): UsageAnswer {
        const { homes, roles, contact, applyLimits } = this.parts;
        const { customer } = charge;
        applyLimits();
        const homeSince = roles.homeSince(customer);
        const contactSince = contact.since;
        return homeSince === undefined || contactSince === undefined ? unknown : homes.charge(charge, Math.max(homeSince, contactSince));
    }

    /** Decides as the home node, or has the home node decide; if it is not reached, as the deputy of this node's zone. */
    async answerAsDeputy(charge: UsageCharge): Promise<UsageAnswer> {
        const own = this.answerAsHome(charge);
        if (own.outcome !== UsageOutcome.Unknown) {
            return own;
        }
        const { roles, sender } = this.parts;
        const { customer } = charge;
        const home = roles.homeOf(customer);
        const isOther = home !== undefined && home !== roles.self;
        const answer = isOther ? await sender.send({ address: home, isDeputy: false, isFinal: true }, charge) : undefined;
        return answer === undefined || answer.outcome === UsageOutcome.Unknown ? this.answerFromZoneReserve(charge) : answer;
    }

    /** Admits a charge from the reserve of the zone, if this node is the deputy. */
    answerFromZoneReserve(charge: UsageCharge): UsageAnswer {
        const { roles, bounds } = this.parts;
        const since = roles.deputySince(charge.customer);
        const perWindow = zoneReserveOf(charge, bounds(), roles.reserveShare);
        return since === undefined ? unknown : this.answerFrom(this.zoneReserve, charge, perWindow, since);
    }

    /** Admits a charge from the part of the reserve that this node has for itself. */
    answerFromOwnReserve(charge: UsageCharge): UsageAnswer {
        const { roles, bounds } = this.parts;
        return this.answerFrom(this.ownReserve, charge, nodeReserveOf(charge, bounds(), roles.reserveShare), roles.knownSince);
    }

    private answerFrom(reserve: UsageReserve, { customer, units }: UsageCharge, perWindow: number, since: number): UsageAnswer {
        const { windowMs } = this.parts.bounds();
        if (!reserve.take(customer, units, perWindow, windowMs, since)) {
            return unknown;
        }
        emit(EventId.UsageReserveUsed, { customer, units, scope: reserve === this.zoneReserve ? "zone" : "node", perWindow: Math.round(perWindow), windowMs });
        return { outcome: UsageOutcome.Admitted };
    }
}

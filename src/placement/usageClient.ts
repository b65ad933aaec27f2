import type { UsageAnswer } from "../types/usageAnswer";
import type { UsageCharge } from "../types/usageCharge";
import { UsageOutcome } from "../types/usageOutcome";
import type { UsageDesk } from "./usageDesk";
import type { UsageRoles } from "./usageRoles";
import type { UsageSender } from "./usageSender";

/** Charges requests to their customers: at the home node, else at the deputy of this node's zone, else from this node's own reserve. */
export class UsageClient {
    private constructor(private readonly roles: UsageRoles, private readonly sender: UsageSender, private readonly desk: UsageDesk) {}

    static create(roles: UsageRoles, sender: UsageSender, desk: UsageDesk): UsageClient {
        return new UsageClient(roles, sender, desk);
    }

    /** Charges a request before it is queued for an upstream. */
    async charge(charge: UsageCharge): Promise<UsageAnswer> {
        const { roles, sender, desk } = this;
        const { self } = roles;
        const home = roles.homeOf(charge.customer);
        const answer = home === undefined
            ? undefined
            : home === self
            ? desk.answerAsHome(charge)
            : await sender.send({ address: home, isDeputy: false, isFinal: false }, charge);
        return answer === undefined || answer.outcome === UsageOutcome.Unknown ? this.chargeAtDeputy(charge) : answer;
    }

    private async chargeAtDeputy(charge: UsageCharge): Promise<UsageAnswer> {
        const { roles, sender, desk } = this;
        const deputy = roles.deputyOf(charge.customer);
        if (deputy === roles.self) {
            return desk.answerFromZoneReserve(charge);
        }
        const answer = deputy === undefined ? undefined : await sender.send({ address: deputy, isDeputy: true, isFinal: false }, charge);
        return answer ?? desk.answerFromOwnReserve(charge);
    }
}

import type { UsageLimit } from "../types/customer";
import { UsageUnit } from "../types/customer";
import { EventId } from "../types/eventId";
import { FailureKind } from "../types/failureKind";
import { RequestStep } from "../types/requestStep";
import type { UsageAnswer } from "../types/usageAnswer";
import type { UsageCharge } from "../types/usageCharge";
import { UsageOutcome } from "../types/usageOutcome";
import { emit } from "../utils/events";
import type { Call } from "./call";
import type { Gateway } from "./gateway";
import type { Refusal } from "./refusal";
import { untilExit } from "./untilExit";

/** Retry-After where nothing is known of the limit: the home node is reached again, or replaced, within seconds, and other nodes may reach it now. */
const unknownRetryAfterMs = 400;
/** Retry-After of a refusal that names no time. */
const refusedRetryAfterMs = 1_000;

/** Units of a request: what its customer's limit counts. */
const unitsOf = ({ unit, plainTokens }: UsageLimit, { caller }: Call): number => unit === UsageUnit.Requests ? 1 : caller.tokenCount ?? plainTokens;

const toCharge = (call: Call, customer: string, limit: UsageLimit): UsageCharge => ({
    customer,
    units: unitsOf(limit, call),
    perSecond: limit.perSecond,
    burst: limit.burst,
    configVersion: call.configVersion,
});

/** A request's charge to its customer, which is returned if the request does not run. */
export class ChargedUsage {
    private admitted: UsageAnswer | undefined;
    private isSettled = false;

    private constructor(private readonly gateway: Gateway, private readonly call: Call, private readonly charge: UsageCharge) {}

    /**
     * The charge of a request; undefined if its customer has no limit, or a peer has charged it. A peer of an earlier release that passes a request on has not, and
     * does not say so.
     */
    static create(gateway: Gateway, call: Call): ChargedUsage | undefined {
        const { customer, progress: { relayed } } = call;
        return customer?.limit === undefined || relayed?.isUsageCharged === true
            ? undefined
            : new ChargedUsage(gateway, call, toCharge(call, customer.name, customer.limit));
    }

    /** Takes the charge; returns why the request is refused if it is not admitted. */
    async take(): Promise<Refusal | undefined> {
        const { gateway, call } = this;
        call.progress.step = RequestStep.Charge;
        const answer = await untilExit(gateway, this.ask());
        return "detail" in answer ? answer : this.refusalOf(answer);
    }

    /** Returns the charge at the end of the request, if it has not run and never will. */
    settle(): void {
        this.isSettled = true;
        const { gateway, call: { progress }, charge, admitted } = this;
        if (admitted && progress.runs === 0 && !progress.mayHaveRun) {
            gateway.usage.onReturned(charge.customer, charge.units);
            gateway.placement.returnUsage(charge, admitted);
        }
    }

    private async ask(): Promise<UsageAnswer> {
        const { gateway, charge } = this;
        const answer = await gateway.placement.chargeUsage(charge);
        if (answer.outcome === UsageOutcome.Admitted) {
            this.admitted = answer;
            gateway.usage.onAdmitted(charge.customer, charge.units);
            if (this.isSettled) {
                // The request was refused meanwhile, as the process is about to exit.
                this.settle();
            }
        }
        return answer;
    }

    private refusalOf({ outcome, retryAfterMs = refusedRetryAfterMs, node }: UsageAnswer): Refusal | undefined {
        const { gateway, call: { caller: { requestId: request } }, charge } = this;
        if (outcome === UsageOutcome.Admitted) {
            return undefined;
        }
        if (outcome === UsageOutcome.Refused) {
            gateway.usage.onRefused(charge.customer, charge.units);
            emit(EventId.UsageRefused, { request, ...charge, node, retryAfterMs: Math.round(retryAfterMs) });
            const detail = `the customer's usage limit of ${charge.perSecond} units a second is reached; the request counts ${charge.units}`;
            return { kind: FailureKind.UsageLimit, detail, retryAfterMs, isSpread: true };
        }
        emit(EventId.UsageUnknown, { request, ...charge, nodes: gateway.knownNodes });
        const detail = "no node that knows the customer's usage is reached, and the reserve for that is used up";
        return { kind: FailureKind.UsageUnknown, detail, retryAfterMs: unknownRetryAfterMs };
    }
}

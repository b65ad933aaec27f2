import { FailureKind } from "../types/failureKind";
import { Verdict } from "../types/verdict";
import { answerFailedCall } from "./answerFailure";
import type { Call } from "./call";
import { ChargedUsage } from "./chargeUsage";
import { Forwarder } from "./forwarder";
import type { Gateway } from "./gateway";
import type { Refusal } from "./refusal";

const refuse = (gateway: Gateway, call: Call, { kind = FailureKind.UsageUnknown, detail, retryAfterMs, isSpread }: Refusal): void =>
    answerFailedCall(call, { kind, detail, verdict: Verdict.NotRun, retryAfterMs: retryAfterMs * (isSpread === true ? 1 : 0.75 + gateway.random() / 2) }, 0);

/** Charges a request to its customer, if that has a limit, and forwards it; what did not run is not charged. */
export const forwardCharged = async (gateway: Gateway, call: Call): Promise<void> => {
    const usage = ChargedUsage.create(gateway, call);
    if (!usage) {
        return Forwarder.create(gateway, call).run();
    }
    try {
        const refusal = await usage.take();
        if (call.signal.aborted) {
            return;
        }
        if (refusal) {
            refuse(gateway, call, refusal);
            return;
        }
        await Forwarder.create(gateway, call).run();
    }
    finally {
        usage.settle();
    }
};

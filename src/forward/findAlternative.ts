import type { UpstreamChoice } from "../core/chooseUpstream";
import { predictCompletionMs } from "../core/chooseUpstream";
import { isSaturated } from "../core/saturation";
import type { Call } from "./call";
import type { Gateway } from "./gateway";
import { selectUpstream } from "./selectUpstream";

/** Finds an upstream that can take a request now while it is in progress elsewhere, and takes a retry of the budget for it. */
export const findAlternative = (gateway: Gateway, call: Call, tried: ReadonlySet<string>): UpstreamChoice | undefined => {
    const { modelRequest } = call.caller;
    const choice = selectUpstream(gateway, call, tried);
    if (!choice || choice.candidate.turnDelayMs !== undefined || (modelRequest && isSaturated(choice, call.route))) {
        return undefined;
    }
    const neededMs = modelRequest ? predictCompletionMs(choice, modelRequest, 0) : choice.predictedMs;
    return neededMs <= call.deadlineAt - performance.now() && gateway.budgetOf(call.service).withdraw() ? choice : undefined;
};

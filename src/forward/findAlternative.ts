import type { UpstreamChoice } from "../core/chooseUpstream";
import { isSaturated } from "../core/saturation";
import { completionLeftMs } from "../core/servableTime";
import { processKey } from "../types/upstreamServer";
import type { Call } from "./call";
import { servableTimeOfCall, servingNeedOf } from "./callPatience";
import type { Gateway } from "./gateway";
import { needsPlace } from "./generationTerms";
import { selectUpstream } from "./selectUpstream";

/** Finds an upstream that can take a request now while it is in progress elsewhere: one without a limit, and not one without room lately. */
export const findAlternative = (gateway: Gateway, call: Call, tried: ReadonlySet<string>): UpstreamChoice | undefined => {
    const { modelRequest } = call.caller;
    const choice = selectUpstream(gateway, call, tried);
    if (!choice) {
        return undefined;
    }
    const { server, turnDelayMs } = choice.candidate;
    const takesPlace = needsPlace(gateway, call, server) && gateway.runnerLimits.limitOf(processKey(server)) === undefined;
    if ((takesPlace ? turnDelayMs! > 0 : turnDelayMs !== undefined) || (modelRequest && isSaturated(choice, call.route))) {
        return undefined;
    }
    const need = servingNeedOf(call, choice);
    return need.completionMs <= completionLeftMs(servableTimeOfCall(gateway, call), need, performance.now()) ? choice : undefined;
};

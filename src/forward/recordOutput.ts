import type { Call } from "./call";
import type { Gateway } from "./gateway";

/** Records how much of its maximum a generation used, if its whole stream was received. */
export const recordOutput = (gateway: Gateway, { caller, service }: Call, eventCount: number): void => {
    const engine = gateway.engineOf(service);
    if (gateway.settings.hasRunnerPressure && engine && caller.modelRequest && caller.lastEventId === undefined && eventCount > 0) {
        gateway.outputShares.of(service).add(eventCount * engine.tokensPerEvent, caller.modelRequest.maxOutputTokens);
    }
};

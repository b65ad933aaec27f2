import type { Call } from "./call";
import type { Gateway } from "./gateway";
import type { QuarantineGate } from "./quarantineGate";
import type { Refusal } from "./refusal";
import { refuseSendKey } from "./refuseKey";
import { refuseQuarantined } from "./waitForUpstream";

/** Why a request must not be sent (again) by anybody, whatever upstream is chosen. */
export const refuseSend = (gateway: Gateway, call: Call, gate: QuarantineGate): Refusal | undefined =>
    refuseQuarantined(gateway, gate) ?? refuseSendKey(gateway, call);

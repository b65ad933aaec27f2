import type { Gateway } from "../forward/gateway";
import { ConfigResult, decodeAndApplyConfig } from "../forward/storeObservers";
import type { PeerAnswer } from "../types/placement";
import type { ClockReading } from "../utils/clockReading";
import type { LocalComponents } from "./localComponents";

/** Applies the configuration in a peer's answer to a report sent at `askedAt`, and what the peer says of the age of what it knows. This node may have answered itself. */
export const applyConfigPart = (gateway: Gateway, local: LocalComponents, answer: PeerAnswer, address: string, askedAt: ClockReading): void => {
    const bytes = answer.config === undefined ? undefined : Buffer.from(answer.config, "base64");
    if (bytes && decodeAndApplyConfig(gateway, bytes, local.decodeConfig, "peer") === ConfigResult.Activated) {
        local.onConfig();
    }
    if (address !== gateway.settings.peerAddress) {
        gateway.confirmation.onPeerAnswer(askedAt, answer.configVersion, answer.configAgeMs);
    }
    if (answer.confirmedAgoMs !== undefined) {
        gateway.freshness.onPeerConfirmed(answer.confirmedAgoMs, askedAt.monotonicMs);
    }
};

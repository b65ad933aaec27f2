import { ConfigConfirmation } from "../core/configConfirmation";
import type { Gateway } from "./gateway";

/** Creates the confirmation of a node's configuration; keys are confirmed only where customers are declared. */
export const createConfirmation = (gateway: Gateway): ConfigConfirmation =>
    ConfigConfirmation.create({
        versionInForce: () => gateway.config?.version,
        revokeMs: () => gateway.customers && gateway.settings.isRevocationStrict ? gateway.settings.revokeMs : undefined,
        applyMs: () => gateway.customers && gateway.settings.applyMs,
        hasPeers: () => gateway.peers.hasPeers,
    });

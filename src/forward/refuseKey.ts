import { EventId } from "../types/eventId";
import { FailureKind } from "../types/failureKind";
import { KeyFault } from "../types/keyFault";
import type { PresentedKey } from "../types/presentedKey";
import type { ServiceRoute } from "../types/servingConfig";
import { emit } from "../utils/events";
import type { Call } from "./call";
import type { Gateway } from "./gateway";
import type { Refusal } from "./refusal";

/** Retry-After while the node does not know whether a key is valid: peers and the store are asked several times a second. */
const unconfirmedRetryAfterMs = 300;

/** Faults of a request without a key, as opposed to one whose key is not valid. */
const missingFaults: ReadonlySet<KeyFault> = new Set([KeyFault.Missing, KeyFault.Empty]);

const refuseWithoutConfirmation = (detail: string): Refusal => ({
    kind: FailureKind.ConfigUnconfirmed,
    detail,
    retryAfterMs: unconfirmedRetryAfterMs,
});

const refuseFault = (fault: KeyFault): Refusal => ({
    kind: missingFaults.has(fault) ? FailureKind.MissingKey : FailureKind.WrongKey,
    detail: `the API key is ${fault}`,
    retryAfterMs: 0,
});

/** Whether requests of a route need a key under the newest configuration. */
const needsKey = ({ customers }: Gateway, { isPublic }: ServiceRoute): boolean => customers !== undefined && isPublic !== true;

/** Refuses a request that has been read, if its key names no customer or the configuration is too old to know; undefined if it may go on. */
export const refuseReadKey = (gateway: Gateway, route: ServiceRoute, key: PresentedKey, requestId: string): Refusal | undefined => {
    if (!needsKey(gateway, route)) {
        return undefined;
    }
    const { confirmation, settings, customers, config } = gateway;
    const fault = "fault" in key ? key.fault : customers?.find(key.digest) ? undefined : KeyFault.Unknown;
    const inputs = { request: requestId, configVersion: config?.version, configAgeMs: confirmation.roundedAgeMs };
    if (fault !== undefined && (fault !== KeyFault.Unknown || confirmation.ageMs < settings.applyMs)) {
        emit(EventId.KeyRefused, { ...inputs, reason: fault });
        return refuseFault(fault);
    }
    if (fault === KeyFault.Unknown || !confirmation.isRecent) {
        emit(EventId.KeyUnconfirmed, { ...inputs, isKnown: fault === undefined, isSending: false });
        return refuseWithoutConfirmation("the node's configuration is too old to know whether the API key is valid");
    }
    return undefined;
};

/** Whether a request may be sent now as far as its key is concerned. */
export const isKeyValid = (gateway: Gateway, { route, keyDigest }: Call): boolean =>
    !needsKey(gateway, route) || (gateway.customers?.find(keyDigest) !== undefined && gateway.confirmation.isRecent);

/** Refuses to send a request (again), if its key has been withdrawn or the configuration is too old to know; undefined if it may be sent. */
export const refuseSendKey = (gateway: Gateway, call: Call): Refusal | undefined => {
    if (isKeyValid(gateway, call)) {
        return undefined;
    }
    const { confirmation, customers, config } = gateway;
    const inputs = { request: call.caller.requestId, configVersion: config?.version, configAgeMs: confirmation.roundedAgeMs, customer: call.customer?.name };
    if (!customers?.find(call.keyDigest)) {
        const fault = call.keyDigest === undefined ? KeyFault.Missing : KeyFault.Withdrawn;
        emit(EventId.KeyRefused, { ...inputs, reason: fault });
        return refuseFault(fault);
    }
    emit(EventId.KeyUnconfirmed, { ...inputs, isKnown: true, isSending: true });
    return refuseWithoutConfirmation("the node's configuration is too old for a request with an API key to be sent");
};

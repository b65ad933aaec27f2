import type { UpstreamContact } from "../core/upstreamContact";
import { ContactFailure } from "../types/contactFailure";
import type { UpstreamServer } from "../types/upstreamServer";
import { processKey } from "../types/upstreamServer";
import { errorCodeOf, isOwnError, refusedConnectionCode } from "../utils/transport";
import type { AttemptEnd } from "./attemptEnd";
import { OwnFault } from "./attemptEnd";

/** How a connection failed, by the code of its error. Other errors, such as those of an attempt that was given up, say nothing of the connection. */
const failureByCode: Readonly<Record<string, ContactFailure>> = {
    [refusedConnectionCode]: ContactFailure.Connect,
    UND_ERR_CONNECT_TIMEOUT: ContactFailure.Connect,
    EHOSTUNREACH: ContactFailure.Connect,
    ENETUNREACH: ContactFailure.Connect,
    ETIMEDOUT: ContactFailure.Connect,
    ECONNRESET: ContactFailure.Ended,
    EPIPE: ContactFailure.Ended,
    UND_ERR_SOCKET: ContactFailure.Ended,
};

/** How a connection failed; undefined if the error is none of a connection. */
const contactFailureOf = (code: string): ContactFailure | undefined => Object.hasOwn(failureByCode, code) ? failureByCode[code] : undefined;

/** How a probe failed; undefined if the error says nothing of the path. */
export const probeFailureOf = (err: unknown): ContactFailure | undefined => isOwnError(err) ? ContactFailure.Own : contactFailureOf(errorCodeOf(err));

/** Records an attempt that failed because its connection did. */
export const recordFailedConnection = (contact: UpstreamContact, server: UpstreamServer, { reason, own }: AttemptEnd): void => {
    const failure = own === OwnFault.Client || own === OwnFault.System ? ContactFailure.Own : contactFailureOf(reason);
    if (failure !== undefined) {
        contact.onFailure(processKey(server), failure);
    }
};

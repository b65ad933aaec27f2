import type { UpstreamContact } from "../core/upstreamContact";
import { ContactFailure } from "../types/contactFailure";
import type { UpstreamServer } from "../types/upstreamServer";
import { processKey } from "../types/upstreamServer";
import { refusedConnectionCode } from "../utils/transport";

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
export const contactFailureOf = (code: string): ContactFailure | undefined => Object.hasOwn(failureByCode, code) ? failureByCode[code] : undefined;

/** Records an attempt that failed because its connection did. */
export const recordFailedConnection = (contact: UpstreamContact, server: UpstreamServer, reason: string): void => {
    const failure = contactFailureOf(reason);
    if (failure !== undefined) {
        contact.onFailure(processKey(server), failure);
    }
};

import { sentKeyDigest } from "../core/customerTable";
import { KeyFault } from "../types/keyFault";
import type { PresentedKey } from "../types/presentedKey";
import type { RelayedRequest } from "../types/relayedRequest";
import type { RequestHeaderCodec } from "../types/requestHeaderCodec";

/** Reads the key of a request from its headers, or its digest from the peer that passes the request on. */
export const readKey = (wire: RequestHeaderCodec, rawHeaders: readonly string[], relayed: RelayedRequest | undefined): PresentedKey => {
    if (relayed?.keyDigest !== undefined) {
        return { digest: relayed.keyDigest };
    }
    const [key, ...others] = wire.decodeKeys(rawHeaders);
    if (key === undefined) {
        return { fault: KeyFault.Missing };
    }
    if (others.length > 0) {
        return { fault: KeyFault.Repeated };
    }
    return key === "" ? { fault: KeyFault.Empty } : { digest: sentKeyDigest(key) };
};

import type { IncomingMessage } from "node:http";
import { requestKeysOf } from "../core/requestKeys";
import type { ModelRequest } from "../types/modelRequest";
import { sharedPartIds } from "../types/modelRequest";

/** Parts that are told to other nodes; beyond these bounds, a caller could make the reports that carry them too large. */
export const maxSuspectParts = 256;
export const maxPartIdLength = 256;
/** Keys of the request itself, which come after the parts of its prompt. */
const requestKeyCount = 2;

const promptPartsOf = (modelRequest: ModelRequest | undefined): readonly string[] =>
    modelRequest ? sharedPartIds(modelRequest).filter(id => id.length <= maxPartIdLength).slice(0, maxSuspectParts - requestKeyCount) : [];

/** What a request has in common with others: shared parts of its prompt, and the keys of the same request at other times and nodes. */
export const suspectPartsOf = (
    { method = "", url = "", headers: { host = "", authorization: credentials } }: IncomingMessage,
    body: Buffer,
    modelRequest: ModelRequest | undefined,
): readonly string[] => [
    ...promptPartsOf(modelRequest),
    ...requestKeysOf({ method, host, url, credentials, body, modelRequest }),
];

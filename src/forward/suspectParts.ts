import type { IncomingMessage } from "node:http";
import { requestKeysOf } from "../core/requestKeys";
import type { ModelRequest } from "../types/modelRequest";
import { sharedPartIds } from "../types/modelRequest";

/** What a request has in common with others: shared parts of its prompt, and the keys of the same request at other times and nodes. */
export const suspectPartsOf = (
    { method = "", url = "", headers: { host = "", authorization: credentials } }: IncomingMessage,
    body: Buffer,
    modelRequest: ModelRequest | undefined,
): readonly string[] => [
    ...modelRequest ? sharedPartIds(modelRequest) : [],
    ...requestKeysOf({ method, host, url, credentials, body, modelRequest }),
];

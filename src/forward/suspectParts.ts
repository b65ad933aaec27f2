import type { IncomingMessage } from "node:http";
import { RequestKeys } from "../core/requestKeys";
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
export class SuspectParts {
    private constructor(private readonly modelRequest: ModelRequest | undefined, private readonly keys: RequestKeys) {}

    /** Begins with the head of a request; its body is added as it arrives. */
    static create(
        { method = "", url = "", headers: { host = "", authorization: credentials } }: IncomingMessage,
        modelRequest: ModelRequest | undefined,
    ): SuspectParts {
        return new SuspectParts(modelRequest, RequestKeys.create({ method, host, url, credentials, modelRequest }));
    }

    addPart(bytes: Buffer): void {
        this.keys.addPart(bytes);
    }

    /** All of them, once the whole body has been added; can be called once. */
    finish(): readonly string[] {
        return [...promptPartsOf(this.modelRequest), ...this.keys.finish()];
    }
}

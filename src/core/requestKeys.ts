import type { Hash } from "node:crypto";
import { createHash } from "node:crypto";
import type { ModelRequest } from "../types/modelRequest";

/** What a runner sees of a request beside its body, but for what differs from attempt to attempt. */
export interface RequestHead {
    readonly method: string;
    readonly host: string;
    /** Path with the query. */
    readonly url: string;
    /** Credentials by which the caller names itself, if it does. */
    readonly credentials?: string;
    readonly modelRequest?: ModelRequest;
}

const keyPrefix = "request:";
const keyLength = 16;

/** Computes the keys that a request shares with those that are the same: by path and body alone, and by all that a runner sees. The body is added as it arrives. */
export class RequestKeys {
    private readonly hashes: readonly Hash[];

    private constructor(texts: readonly (readonly string[])[]) {
        this.hashes = texts.map(text => createHash("sha256").update(JSON.stringify(text)));
    }

    /** Begins with all but the body. */
    static create({ method, host, url, credentials = "", modelRequest }: RequestHead): RequestKeys {
        const [path = "", query = ""] = url.split("?", 2);
        const caller = [method, host, path, credentials];
        const { model = "", adapter = "", promptTokens = 0, maxOutputTokens = 0, parts = [] } = modelRequest ?? {};
        const rest = [query, model, adapter, String(promptTokens), String(maxOutputTokens), ...parts.map(({ id }) => id)];
        return new RequestKeys([caller, [...caller, ...rest]]);
    }

    /** Adds a part of the body. */
    addPart(bytes: Buffer): void {
        this.hashes.forEach(hash => hash.update(bytes));
    }

    /** The keys once the whole body has been added; can be called once. */
    finish(): readonly string[] {
        return this.hashes.map(hash => keyPrefix + hash.digest("base64url").slice(0, keyLength));
    }
}

/** Whether a key is one of a whole request, not a part of a prompt. */
export const isRequestKey = (key: string): boolean => key.startsWith(keyPrefix);

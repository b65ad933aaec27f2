import { createHash } from "node:crypto";
import type { ModelRequest } from "../types/modelRequest";

/** What a runner sees of a request, but for what differs from attempt to attempt. */
export interface RequestContent {
    readonly method: string;
    readonly host: string;
    /** Path with the query. */
    readonly url: string;
    /** Credentials by which the caller names itself, if it does. */
    readonly credentials?: string;
    readonly modelRequest?: ModelRequest;
    readonly body: Buffer;
}

const keyPrefix = "request:";
const keyLength = 16;

const hashOf = (texts: readonly string[], body: Buffer): string =>
    keyPrefix + createHash("sha256").update(JSON.stringify(texts)).update(body).digest("base64url").slice(0, keyLength);

/** Keys that a request shares with those that are the same: by path and body alone, and by all that a runner sees. */
export const requestKeysOf = ({ method, host, url, credentials = "", modelRequest, body }: RequestContent): readonly string[] => {
    const [path = "", query = ""] = url.split("?", 2);
    const caller = [method, host, path, credentials];
    const { model = "", adapter = "", promptTokens = 0, maxOutputTokens = 0, parts = [] } = modelRequest ?? {};
    const rest = [query, model, adapter, String(promptTokens), String(maxOutputTokens), ...parts.map(({ id }) => id)];
    return [hashOf(caller, body), hashOf([...caller, ...rest], body)];
};

/** Whether a key is one of a whole request, not a part of a prompt. */
export const isRequestKey = (key: string): boolean => key.startsWith(keyPrefix);

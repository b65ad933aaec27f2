import { Readable } from "node:stream";
import type { ReadableStream } from "node:stream/web";
import type { Dispatcher } from "undici";
import { fetch, Response } from "undici";
import type { BodyLimits } from "./transport";
import { readAnswerText } from "./transport";

/** Creates a fetch function over a dispatcher that abandons answers beyond a limit. It is typed as the global fetch, which tRPC expects. */
export const createBoundedFetch = (dispatcher: Dispatcher, limits: BodyLimits): typeof globalThis.fetch => {
    const boundedFetch = async (input: string, init: object): Promise<Response> => {
        const res = await fetch(input, { ...init, dispatcher, signal: AbortSignal.timeout(limits.timeoutMs) });
        if (!res.body) {
            return res;
        }
        const text = await readAnswerText(Readable.fromWeb(res.body as ReadableStream), limits);
        return new Response(text, { status: res.status, headers: res.headers });
    };
    return boundedFetch as unknown as typeof globalThis.fetch;
};

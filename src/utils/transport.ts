import type { Readable } from "node:stream";
import { Verdict } from "../types/verdict";

/** Error codes that prove that no byte of the request was sent. */
const unsentCodes: ReadonlySet<string> = new Set([
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "ENOTFOUND",
    "EADDRNOTAVAIL",
    "UND_ERR_CONNECT_TIMEOUT",
]);

/** Code of a transport error or of its cause. */
export const errorCodeOf = (err: unknown): string => {
    const { code, cause } = (err ?? {}) as { code?: string; cause?: { code?: string; }; };
    return code ?? cause?.code ?? (err instanceof Error ? err.name : "unknown");
};

/** Whether the request may have run, as far as a transport error proves it. */
export const verdictOfError = (err: unknown): Verdict => unsentCodes.has(errorCodeOf(err)) ? Verdict.NotRun : Verdict.MayHaveRun;

/** Outcome of reading a body with limits on size and time. */
export type BodyReadResult =
    | { readonly kind: "whole"; readonly body: Buffer; }
    | { readonly kind: "too-large"; }
    | { readonly kind: "slow"; }
    | { readonly kind: "lost"; };

/** Reads a body with limits on size and time. */
export const readBody = (stream: Readable, maxBytes: number, timeoutMs: number): Promise<BodyReadResult> =>
    new Promise(resolve => {
        const chunks: Buffer[] = [];
        let bytes = 0;
        const finish = (result: BodyReadResult) => {
            clearTimeout(timer);
            stream.removeAllListeners("data");
            resolve(result);
        };
        const timer = setTimeout(() => finish({ kind: "slow" }), timeoutMs);
        stream.on("data", (chunk: Buffer) => {
            bytes += chunk.length;
            if (bytes > maxBytes) {
                stream.pause();
                finish({ kind: "too-large" });
                return;
            }
            chunks.push(chunk);
        });
        stream.on("end", () => finish({ kind: "whole", body: Buffer.concat(chunks) }));
        stream.on("error", () => finish({ kind: "lost" }));
        stream.on("close", () => finish({ kind: "lost" }));
    });

import type { Readable } from "node:stream";
import { Verdict } from "../types/verdict";
import { maxTimerMs } from "./time";

/** Error code of a connection that was refused: no process listens at the address. */
export const refusedConnectionCode = "ECONNREFUSED";

/** Error codes that prove that no byte of the request was sent. */
const unsentCodes: ReadonlySet<string> = new Set([
    refusedConnectionCode,
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

/** Limits on reading a body. */
export interface BodyLimits {
    readonly maxBytes: number;
    /** Time for the whole body. */
    readonly timeoutMs: number;
    /** Maximum time without a byte; unlimited if undefined. */
    readonly silenceMs?: number;
}

/** Reads a body with limits on size and time. */
export const readBody = (stream: Readable, { maxBytes, timeoutMs, silenceMs }: BodyLimits): Promise<BodyReadResult> =>
    new Promise(resolve => {
        const chunks: Buffer[] = [];
        let bytes = 0;
        const finish = (result: BodyReadResult) => {
            clearTimeout(timer);
            clearTimeout(silenceTimer);
            stream.removeAllListeners("data");
            resolve(result);
        };
        const timer = setTimeout(() => finish({ kind: "slow" }), Math.min(timeoutMs, maxTimerMs));
        const silenceTimer = silenceMs === undefined ? undefined : setTimeout(() => finish({ kind: "slow" }), silenceMs);
        stream.on("data", (chunk: Buffer) => {
            silenceTimer?.refresh();
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

/** An answer that was abandoned because it exceeded a limit. */
export class AnswerLimitError extends Error {
    private constructor(readonly code: string) {
        super(code);
    }

    /** Creates the error; the code states the limit. */
    static create(code: "ANSWER_TOO_LARGE" | "ANSWER_TOO_SLOW" | "ANSWER_CUT"): AnswerLimitError {
        return new AnswerLimitError(code);
    }
}

const limitCodes = { "too-large": "ANSWER_TOO_LARGE", slow: "ANSWER_TOO_SLOW", lost: "ANSWER_CUT" } as const;

/** Reads an answer's body as text. Beyond a limit it closes the connection and throws. */
export const readAnswerText = async (body: Readable, limits: BodyLimits): Promise<string> => {
    const result = await readBody(body, limits);
    if (result.kind === "whole") {
        return result.body.toString("utf8");
    }
    // Destroying a body that is still being received closes its connection and reports an error, which is already known.
    body.on("error", () => undefined);
    body.destroy();
    throw AnswerLimitError.create(limitCodes[result.kind]);
};

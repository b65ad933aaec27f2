import type { Readable } from "node:stream";
import { Verdict } from "../types/verdict";
import { maxTimerMs } from "./time";
import type { TurnPacer } from "./turnPacer";

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

/** An error with its stack, for a log line. */
export const describeError = (err: unknown): string => err instanceof Error ? err.stack ?? err.message : errorCodeOf(err);

/** Whether the request may have run, as far as a transport error proves it. */
export const verdictOfError = (err: unknown): Verdict => unsentCodes.has(errorCodeOf(err)) ? Verdict.NotRun : Verdict.MayHaveRun;

/** Outcome of reading a body with limits on size and time. */
export type BodyReadResult =
    | { readonly kind: "whole"; readonly body: Buffer; }
    | { readonly kind: "too-large"; }
    | { readonly kind: "slow"; }
    | { readonly kind: "lost"; };

/** Limits on the time in which a body is read. */
export interface BodyTimeLimits {
    /** Time for the whole body. */
    readonly timeoutMs: number;
    /** Maximum time without a byte; unlimited if undefined. */
    readonly silenceMs?: number;
    /** Whether a longer time without a byte is accepted for now. */
    readonly maySilenceLast?: () => boolean;
    /** Bounds what one turn of the event loop reads. */
    readonly pacer?: TurnPacer;
}

/** Limits on reading a body. */
export interface BodyLimits extends BodyTimeLimits {
    readonly maxBytes: number;
}

/** After a standstill of this process its timers fire before it reads what has arrived: a sender counts as silent only at the second check. */
const checksOfSilence = 2;

/** Reads a body in chunks until `take` returns false, which pauses it: `too-large`. */
export const readChunks = (
    stream: Readable,
    take: (chunk: Buffer) => boolean,
    { timeoutMs, silenceMs, maySilenceLast = () => false, pacer }: BodyTimeLimits,
): Promise<BodyReadResult["kind"]> =>
    new Promise(resolve => {
        let isFinished = false;
        const finish = (kind: BodyReadResult["kind"]) => {
            isFinished = true;
            clearTimeout(timer);
            clearTimeout(silenceTimer);
            stream.removeAllListeners("data");
            resolve(kind);
        };
        let silences = 0;
        const onSilence = (): void => {
            silences = maySilenceLast() ? 0 : silences + 1;
            if (silences < checksOfSilence) {
                silenceTimer?.refresh();
            }
            else {
                finish("slow");
            }
        };
        const resume = (): void => {
            if (!isFinished) {
                stream.resume();
            }
        };
        const timer = setTimeout(() => finish("slow"), Math.min(timeoutMs, maxTimerMs));
        const silenceTimer = silenceMs === undefined ? undefined : setTimeout(onSilence, silenceMs / checksOfSilence);
        if (stream.destroyed) {
            finish("lost");
            return;
        }
        stream.on("data", (chunk: Buffer) => {
            silences = 0;
            silenceTimer?.refresh();
            if (!take(chunk)) {
                stream.pause();
                finish("too-large");
            }
            else if (pacer?.count(chunk.length, resume) === false) {
                stream.pause();
            }
        });
        stream.on("end", () => finish("whole"));
        stream.on("error", () => finish("lost"));
        stream.on("close", () => finish("lost"));
        stream.resume();
    });

/** Reads a body with limits on size and time. */
export const readBody = async (stream: Readable, { maxBytes, ...times }: BodyLimits): Promise<BodyReadResult> => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    const take = (chunk: Buffer): boolean => {
        bytes += chunk.length;
        chunks.push(chunk);
        return bytes <= maxBytes;
    };
    const kind = await readChunks(stream, take, times);
    return kind === "whole" ? { kind, body: Buffer.concat(chunks) } : { kind };
};

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

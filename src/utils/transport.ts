import type { Readable } from "node:stream";
import { errors } from "undici";
import type { MemoryHold } from "../types/memoryHold";
import { Verdict } from "../types/verdict";
import type { BodyTimeLimits } from "./bodySource";
import { BodySource } from "./bodySource";
import { PartBuffer } from "./partBuffer";

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

/** Error codes with which the system refuses a connection for want of something that this node has too little of, or is not allowed. */
const ownCodes: ReadonlySet<string> = new Set(["EMFILE", "ENFILE", "ENOMEM", "ENOBUFS", "EADDRNOTAVAIL", "EACCES", "EPERM"]);

/** Whether an error that kept a request from being sent is this node's own: errors of the client and of the system that concern the other side have other codes. */
export const isOwnError = (err: unknown): boolean => {
    // Bytes that are no answer are the other side's; not every error of the parser has a code.
    if (err instanceof errors.HTTPParserError) {
        return false;
    }
    const { code, cause } = (err ?? {}) as { code?: unknown; cause?: { code?: unknown; }; };
    const named = code ?? cause?.code;
    return named === undefined || ownCodes.has(String(named));
};

/** Whether an error of a socket comes from the other side or the network; all others say why this process destroyed it. */
export const isSystemError = (err: Error | undefined): boolean => (err as NodeJS.ErrnoException | undefined)?.errno !== undefined;

/** Whether the system refused a connection; it may allow those to other addresses, and those that are open go on. */
export const isSystemRefusal = (err: unknown): boolean => ownCodes.has(errorCodeOf(err));

/** Code of a transport error, or what an error without one says. */
export const reasonOf = (err: unknown): string => {
    const code = errorCodeOf(err);
    return err instanceof Error && code === err.name ? `${code}: ${err.message}` : code;
};

/** An error with its stack, for a log line. */
export const describeError = (err: unknown): string => err instanceof Error ? err.stack ?? err.message : errorCodeOf(err);

/** Whether the request may have run, as far as a transport error proves it. */
export const verdictOfError = (err: unknown): Verdict => unsentCodes.has(errorCodeOf(err)) ? Verdict.NotRun : Verdict.MayHaveRun;

/** Outcome of reading a body with limits on size and time. */
export type BodyReadResult =
    | { readonly kind: "whole"; readonly body: Buffer; }
    | { readonly kind: "too-large"; }
    | { readonly kind: "memory-short"; }
    | { readonly kind: "slow"; }
    | { readonly kind: "lost"; };

/** Limits on reading a body. */
export interface BodyLimits extends BodyTimeLimits {
    readonly maxBytes: number;
    /** Counts what is kept of the body while it is read. */
    readonly hold?: MemoryHold;
}

const failedKinds = { full: "too-large", slow: "slow", stopped: "slow", lost: "lost" } as const;

/** Reads a body with limits on size and time. */
export const readBody = async (stream: Readable, { maxBytes, hold, ...times }: BodyLimits): Promise<BodyReadResult> => {
    const parts = PartBuffer.create();
    let isHeld = true;
    const take = (chunk: Buffer): boolean => {
        const { heldBytes } = parts;
        parts.add(chunk);
        isHeld = hold?.grow(parts.heldBytes - heldBytes) ?? true;
        return isHeld && parts.bytes <= maxBytes;
    };
    const end = await BodySource.create(stream).read(take, times);
    if (end === "whole") {
        return { kind: end, body: parts.join() };
    }
    return { kind: end === "full" && !isHeld ? "memory-short" : failedKinds[end] };
};

/** An answer that was abandoned because it exceeded a limit. */
export class AnswerLimitError extends Error {
    private constructor(readonly code: string) {
        super(code);
    }

    /** Creates the error; the code states the limit. */
    static create(code: "ANSWER_TOO_LARGE" | "ANSWER_MEMORY_SHORT" | "ANSWER_TOO_SLOW" | "ANSWER_CUT"): AnswerLimitError {
        return new AnswerLimitError(code);
    }
}

const limitCodes = { "too-large": "ANSWER_TOO_LARGE", "memory-short": "ANSWER_MEMORY_SHORT", slow: "ANSWER_TOO_SLOW", lost: "ANSWER_CUT" } as const;

/** Reads an answer's body as text. Beyond a limit it closes the connection and throws; it releases the hold in any case. */
export const readAnswerText = async (body: Readable, limits: BodyLimits): Promise<string> => {
    const { hold } = limits;
    const result = await readBody(body, limits).finally(() => hold?.release());
    if (result.kind === "whole") {
        return result.body.toString("utf8");
    }
    // Destroying a body that is still being received closes its connection and reports an error, which is already known.
    body.on("error", () => undefined);
    body.destroy();
    if (result.kind === "too-large" || result.kind === "memory-short") {
        hold?.giveUp();
    }
    throw AnswerLimitError.create(limitCodes[result.kind]);
};

import type { ModelRequest, PromptPart } from "../types/modelRequest";
import type { HeaderMap, ReportedLoad, RequestHeaderCodec } from "../types/requestHeaderCodec";

const systemHeaders: ReadonlySet<string> = new Set(["hold", "pin-ms", "request-priority", "expect-instance", "expect-version", "deadline-ms"]);
const kvHeaderPrefix = "kv-";

const endToEndHeaders: ReadonlySet<string> = new Set([
    "host",
    "attempt-id",
    "last-event-id",
    "resumes",
    "model",
    "token-count",
    "prompt-prefix",
    "length-hint",
    "content-type",
]);

const firstValueOf = (headers: HeaderMap, name: string): string | undefined => {
    const value = headers[name];
    return typeof value === "string" ? value : value?.[0];
};

/** Decodes `ID:TOKENS`; the ID is hexadecimal. */
const decodePart = (text: string): PromptPart => {
    const [id = "", tokens] = text.trim().split(":");
    return { id, tokens: Number(tokens) || 0 };
};

const decodeModelRequest = (headers: HeaderMap): ModelRequest | undefined => {
    const name = firstValueOf(headers, "model");
    if (name === undefined) {
        return undefined;
    }
    const slash = name.indexOf("/");
    // `Token-Count` holds the number of prompt tokens and the maximum number of output tokens.
    const [prompt, output] = (firstValueOf(headers, "token-count") ?? "").split(",");
    const prefix = firstValueOf(headers, "prompt-prefix") ?? "";
    return {
        model: slash < 0 ? name : name.slice(0, slash),
        adapter: slash < 0 ? undefined : name.slice(slash + 1),
        promptTokens: Number(prompt) || 0,
        maxOutputTokens: Number(output) || 0,
        parts: prefix === "" ? [] : prefix.split(",").map(decodePart),
    };
};

/** Decodes `RUNNING,WAITING,SLOTS`; undefined if a number is missing or invalid. */
const decodeLoad = (text: string | undefined): ReportedLoad | undefined => {
    const [running, waiting, slots] = (text ?? "").split(",").map(Number);
    return running !== undefined && waiting !== undefined && slots !== undefined && Number.isFinite(running + waiting + slots)
        ? { running, waiting, slots }
        : undefined;
};

/** Decodes a decimal number; undefined if it is missing or invalid. */
const decodeLimit = (text: string | undefined): number | undefined => {
    const perSecond = Number(text);
    return text !== undefined && text.trim() !== "" && Number.isFinite(perSecond) && perSecond >= 0 ? perSecond : undefined;
};

const misdirectedStatus = 421;

/** Decodes and encodes the headers of requests and answers on the platform's wire. */
export const requestHeaderCodec: RequestHeaderCodec = {
    decodeCaller: headers => {
        const deadline = firstValueOf(headers, "deadline-ms");
        const deadlineMs = Number(deadline);
        return {
            requestId: firstValueOf(headers, "attempt-id") ?? "",
            deadlineMs: deadline !== undefined && Number.isFinite(deadlineMs) ? deadlineMs : undefined,
            lastEventId: firstValueOf(headers, "last-event-id"),
            resumedRequestId: firstValueOf(headers, "resumes"),
            modelRequest: decodeModelRequest(headers),
        };
    },
    isSystemHeader: name => systemHeaders.has(name) || name.startsWith(kvHeaderPrefix),
    isEndToEndHeader: name => endToEndHeaders.has(name),
    encodeAttempt: ({ upstreamId, remainingMs, priority, lastEventId }) => [
        "Deadline-Ms",
        String(Math.max(1, Math.floor(remainingMs))),
        "Expect-Instance",
        upstreamId,
        ...(priority === undefined ? [] : ["Request-Priority", String(priority)]),
        ...(lastEventId === undefined ? [] : ["Last-Event-Id", lastEventId]),
    ],
    decodeAnswer: (status, headers) => ({
        requestId: firstValueOf(headers, "attempt-id"),
        isSigned: headers["server-seal"] !== undefined,
        isNotExecuted: headers["not-executed"] !== undefined || status === misdirectedStatus,
        isMisdirected: status === misdirectedStatus,
        load: decodeLoad(firstValueOf(headers, "server-load")),
        limitPerS: decodeLimit(firstValueOf(headers, "server-limit")),
    }),
};

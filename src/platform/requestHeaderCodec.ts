import type { ModelRequest, PromptPart } from "../types/modelRequest";
import type { HeaderMap, ReportedLoad, RequestHeaderCodec } from "../types/requestHeaderCodec";
import { maxTimerMs } from "../utils/time";
import { decodeUpstreamWord } from "./upstreamWordDecoder";

const systemHeaders: ReadonlySet<string> = new Set(["hold", "pin-ms", "request-priority", "expect-instance", "expect-version", "deadline-ms"]);
const keyHeader = "x-api-key";
const customerHeaders: ReadonlySet<string> = new Set([keyHeader, "tenant"]);
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

/** Larger counts of tokens, requests and slots are not those of any runner. */
const maxCount = 1_000_000_000;
/** Parts of a prompt beyond these are not looked at: each is kept while its request is in progress. */
const maxPromptParts = 256;
/** A lower limit is one on requests that no caller waits for. */
const minLimitPerS = 0.001;

const firstValueOf = (headers: HeaderMap, name: string): string | undefined => {
    const value = headers[name];
    return typeof value === "string" ? value : value?.[0];
};

/** Decodes a decimal number; undefined if it is missing or invalid. */
const decodeNumber = (text: string | undefined): number | undefined => {
    const value = Number(text);
    return text !== undefined && text.trim() !== "" && Number.isFinite(value) ? value : undefined;
};

/** Decodes a count of tokens; 0 if it is missing or invalid. */
const decodeTokens = (text: string | undefined): number => Math.min(maxCount, Math.max(0, decodeNumber(text) ?? 0));

/** Decodes `ID:TOKENS`; the ID is hexadecimal. */
const decodePart = (text: string): PromptPart => {
    const [id = "", tokens] = text.trim().split(":");
    return { id, tokens: decodeTokens(tokens) };
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
        promptTokens: decodeTokens(prompt),
        maxOutputTokens: decodeTokens(output),
        parts: prefix === "" ? [] : prefix.split(",", maxPromptParts).map(decodePart),
    };
};

/** Decodes `RUNNING,WAITING,SLOTS`; undefined if a number is missing or invalid. */
const decodeLoad = (text: string | undefined): ReportedLoad | undefined => {
    const [running = -1, waiting = -1, slots = -1] = (text ?? "").split(",").map(decodeNumber);
    return [running, waiting, slots].every(value => value >= 0 && value <= maxCount) ? { running, waiting, slots } : undefined;
};

/** Decodes a limit in requests per second; undefined if it is missing or invalid. */
const decodeLimit = (text: string | undefined): number | undefined => {
    const perSecond = decodeNumber(text) ?? -1;
    return perSecond < 0 ? undefined : perSecond < minLimitPerS ? 0 : perSecond;
};

const misdirectedStatus = 421;

/** Decodes and encodes the headers of requests and answers on the platform's wire. */
export const requestHeaderCodec: RequestHeaderCodec = {
    decodeCaller: headers => {
        const deadlineMs = decodeNumber(firstValueOf(headers, "deadline-ms"));
        return {
            requestId: firstValueOf(headers, "attempt-id") ?? "",
            deadlineMs: deadlineMs === undefined ? undefined : Math.min(maxTimerMs, Math.max(0, deadlineMs)),
            lastEventId: firstValueOf(headers, "last-event-id"),
            resumedRequestId: firstValueOf(headers, "resumes"),
            modelRequest: decodeModelRequest(headers),
        };
    },
    isSystemHeader: name => systemHeaders.has(name) || name.startsWith(kvHeaderPrefix),
    decodeKeys: rawHeaders => rawHeaders.flatMap((text, index) => index % 2 === 0 && text.toLowerCase() === keyHeader ? [rawHeaders[index + 1] ?? ""] : []),
    isCustomerHeader: name => customerHeaders.has(name),
    isEndToEndHeader: name => endToEndHeaders.has(name),
    encodeAttempt: ({ upstreamId, remainingMs, priority, lastEventId, customer }) => [
        "Deadline-Ms",
        String(Math.max(1, Math.floor(remainingMs))),
        ...(upstreamId === undefined ? [] : ["Expect-Instance", upstreamId]),
        ...(priority === undefined ? [] : ["Request-Priority", String(priority)]),
        ...(lastEventId === undefined ? [] : ["Last-Event-Id", lastEventId]),
        ...(customer === undefined ? [] : ["Tenant", customer]),
    ],
    decodeAnswer: (status, headers) => ({
        requestId: firstValueOf(headers, "attempt-id"),
        isSigned: headers["server-seal"] !== undefined,
        isNotExecuted: headers["not-executed"] !== undefined || status === misdirectedStatus,
        ...decodeUpstreamWord(status, headers),
        load: decodeLoad(firstValueOf(headers, "server-load")),
        limitPerS: decodeLimit(firstValueOf(headers, "server-limit")),
    }),
};

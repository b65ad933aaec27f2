import type { ServerResponse } from "node:http";
import { z } from "zod";
import type { Failure } from "../types/failure";
import { FailureKind } from "../types/failureKind";
import type { RelayedRequest } from "../types/relayedRequest";
import type { RelayReport } from "../types/relayReport";
import type { HeaderMap } from "../types/requestHeaderCodec";
import { Verdict } from "../types/verdict";
import type { RequestProgress } from "./requestProgress";

/** Largest size of these headers: each character of a name may take six. */
export const maxRelayHeaderBytes = 32_768;

/** Header of a request that a node passes on to a peer, and of the peer's answer. */
export const relayHeader = "jackdawtrail-relay";
export const relayReportHeader = "jackdawtrail-relay-report";
/** Value of the header by which a node asks whether the peer reaches upstreams. */
export const contactQuestion = "contact";

/** Longest name that a row of an upstream may have. */
const maxNameLength = 1_024;
const maxDetailLength = 200;
const maxSends = 1_000;

const name = z.string().max(maxNameLength);
const count = z.number().int().min(0);
const durationMs = z.number().min(0);

const requestSchema = z.object({
    node: name,
    elapsedMs: durationMs,
    remainingMs: durationMs,
    configVersion: count,
    service: name,
    maxRuns: count.min(1).max(maxSends),
    streamVersion: name.optional(),
    recordedVersion: name.optional(),
    keyDigest: z.string().regex(/^[0-9a-f]{64}$/).optional(),
    isUsageCharged: z.boolean().optional(),
});

const reportSchema = z.object({
    verdict: z.enum(Verdict),
    sends: count.max(maxSends),
    runs: count.max(maxSends),
    upstream: name.optional(),
    softwareVersion: name.optional(),
    failure: z.object({ kind: z.enum(FailureKind), detail: z.string(), retryAfterMs: durationMs.optional() }).optional(),
});

/** JSON in characters that a header may contain. */
const encode = (value: object): string => JSON.stringify(value).replace(/[^\x20-\x7e]/g, char => `\\u${char.charCodeAt(0).toString(16).padStart(4, "0")}`);

const decode = <T>(schema: z.ZodType<T>, text: string | readonly string[] | undefined): T | undefined => {
    if (typeof text !== "string") {
        return undefined;
    }
    try {
        return schema.safeParse(JSON.parse(text)).data;
    }
    catch {
        // Callers log what cannot be read.
        return undefined;
    }
};

/** The header of a request that is passed on. */
export const encodeRelayed = (relayed: RelayedRequest): readonly [string, string] => [relayHeader, encode(relayed)];

/** What a peer says of a request that it passes on; undefined if it cannot be read. */
export const decodeRelayed = (headers: HeaderMap): RelayedRequest | undefined => decode(requestSchema, headers[relayHeader]);

/** What a peer says of a request that was passed on to it; undefined if it says nothing that can be read. */
export const decodeReport = (headers: HeaderMap): RelayReport | undefined => decode(reportSchema, headers[relayReportHeader]);

/** Headers of a peer's answer without those between nodes. */
export const withoutReport = (headers: HeaderMap): HeaderMap => Object.fromEntries(Object.entries(headers).filter(([header]) => header !== relayReportHeader));

/** Allowance for what a node adds besides its own header. */
const addedHeaderBytes = 256;

/** Bytes that the node before may have added to the headers of a request. */
export const relayHeaderBytes = (headers: HeaderMap): number => {
    const value = headers[relayHeader];
    return typeof value === "string" ? relayHeader.length + value.length + addedHeaderBytes : 0;
};

/** Kinds that nodes of the last release do not know: they would take an answer with one for unreadable, and the request for one that may have run. */
const reportedKinds: Readonly<Partial<Record<FailureKind, FailureKind>>> = { [FailureKind.ConfigUnconfirmed]: FailureKind.NotReady };

/** Adds what the node says of a request to the answer, if a peer passed it on; `running` counts an attempt whose answer has begun. */
export const addReport = (
    res: ServerResponse,
    { relayed, sends, runs, upstream, softwareVersion, verdict }: RequestProgress,
    failure?: Failure,
    running = 0,
): void => {
    if (!relayed) {
        return;
    }
    const report: RelayReport = {
        verdict: failure?.verdict ?? (verdict === Verdict.NotRun ? verdict : Verdict.Ran),
        sends,
        runs: runs + running,
        upstream,
        softwareVersion,
        failure: failure &&
            { kind: reportedKinds[failure.kind] ?? failure.kind, detail: failure.detail.slice(0, maxDetailLength), retryAfterMs: failure.retryAfterMs },
    };
    res.setHeader(relayReportHeader, encode(report));
};

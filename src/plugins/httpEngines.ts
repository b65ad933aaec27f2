import { createParser } from "eventsource-parser";
import type { Dispatcher } from "undici";
import { Agent, request } from "undici";
import { FailureError, raise } from "../core/failures";
import type { Engine, EngineChunk, EngineLookup, EngineRequest } from "../types/engine";
import { StreamEnd } from "../types/engine";
import { FailureKind } from "../types/failureKind";
import type { EngineOrder } from "../types/order";
import { OrderAnswer } from "../types/order";
import type { EngineReport } from "../types/report";
import { Verdict } from "../types/verdict";
import { createPunctualConnector } from "../utils/punctualConnector";
import { abortAfter } from "../utils/time";
import { errorCodeOf, readAnswerText, verdictOfError } from "../utils/transport";

const connectTimeoutMs = 500;
const reportTimeoutMs = 1_000;
const orderTimeoutMs = 1_000;
/** A stream without data for this long is treated as truncated. */
const streamIdleTimeoutMs = 10_000;
const doneData = "[DONE]";
/** Maximum sizes of an engine's report, of the body that explains a failure, and of one event of a stream. */
const maxReportBytes = 4_194_304;
const maxProblemBytes = 65_536;
const maxEventBytes = 1_048_576;
/** Bytes of a stream that wait for a slow caller: the client keeps each chunk by itself, at a hundred bytes of memory or more. */
const maxUnreadBytes = 1_024;

/** Statuses by which an engine states that it did not run the request. */
const refusalStatuses: ReadonlySet<number> = new Set([404, 409, 429, 503]);

const orderAnswers: Readonly<Record<number, OrderAnswer>> = { 202: OrderAnswer.Accepted, 412: OrderAnswer.StaleFence };

/** Returns the text that a chat or completion event adds to the answer. */
export const textOf = (data: Readonly<Record<string, unknown>>): string => {
    const choice = (data.choices as readonly { delta?: { content?: string; }; text?: string; }[] | undefined)?.[0];
    return choice?.delta?.content ?? choice?.text ?? "";
};

/** Reads the stream until it ends; an event without the attempt's ID ends it as a mismatch. */
const readStream = async (
    body: Dispatcher.ResponseData["body"],
    attemptId: string,
    onChunk: (chunk: EngineChunk) => Promise<void> | void,
): Promise<StreamEnd> => {
    const pending: EngineChunk[] = [];
    let end: StreamEnd | undefined;
    const parser = createParser({
        onEvent: event => {
            if (end !== undefined) {
                return;
            }
            if (event.data === doneData) {
                end = StreamEnd.Complete;
                return;
            }
            const data = JSON.parse(event.data) as Record<string, unknown>;
            if (data.id !== attemptId) {
                end = StreamEnd.Mismatch;
                return;
            }
            pending.push({ data, text: textOf(data) });
        },
    });
    const decoder = new TextDecoder();
    let bytesSinceEvent = 0;
    try {
        for await (const bytes of body) {
            parser.feed(decoder.decode(bytes as Buffer, { stream: true }));
            bytesSinceEvent = pending.length > 0 || end !== undefined ? 0 : bytesSinceEvent + (bytes as Buffer).length;
            if (bytesSinceEvent > maxEventBytes) {
                return StreamEnd.Truncated;
            }
            for (const chunk of pending.splice(0)) {
                await onChunk(chunk);
            }
            if (end !== undefined) {
                return end;
            }
        }
    }
    catch (err) {
        if (err instanceof FailureError) {
            throw err;
        }
        return StreamEnd.Truncated;
    }
    return StreamEnd.Truncated;
};

const generate = async (agent: Dispatcher, url: string, req: EngineRequest, onChunk: (chunk: EngineChunk) => Promise<void> | void): Promise<StreamEnd> => {
    const body = req.resumeOffset > 0 ? { ...req.body, resume_offset: req.resumeOffset, resume_text: req.resumeText } : req.body;
    let res: Dispatcher.ResponseData;
    try {
        res = await request(`${url}${req.path}`, {
            method: "POST",
            dispatcher: agent,
            headers: { "content-type": "application/json", "x-request-id": req.attemptId },
            body: JSON.stringify({ ...body, stream: true }),
            bodyTimeout: Math.min(req.timeoutMs, streamIdleTimeoutMs),
            highWaterMark: maxUnreadBytes,
            // Bounds the whole answer: bytes that are no answer may arrive without end.
            signal: AbortSignal.any([req.signal, abortAfter(req.timeoutMs)]),
        });
    }
    catch (err) {
        if (req.signal.aborted) {
            return raise(FailureKind.CallerGone, "the caller disconnected before the first token", Verdict.MayHaveRun);
        }
        return raise(FailureKind.UpstreamLost, errorCodeOf(err), verdictOfError(err));
    }
    if (res.statusCode !== 200) {
        const text = await readAnswerText(res.body, { maxBytes: maxProblemBytes, timeoutMs: reportTimeoutMs }).catch(errorCodeOf);
        const refused = refusalStatuses.has(res.statusCode);
        return raise(
            refused ? FailureKind.UpstreamRefused : FailureKind.UpstreamFailed,
            `status ${res.statusCode} ${text.slice(0, 200)}`,
            refused ? Verdict.NotRun : Verdict.MayHaveRun,
        );
    }
    if (res.headers["x-request-id"] !== req.attemptId) {
        res.body.destroy();
        return StreamEnd.Mismatch;
    }
    const end = await readStream(res.body, req.attemptId, onChunk);
    if (end !== StreamEnd.Complete) {
        res.body.destroy();
    }
    return end;
};

const sendOrder = async (agent: Dispatcher, url: string, order: EngineOrder): Promise<OrderAnswer> => {
    try {
        const res = await request(`${url}/engine/orders`, {
            method: "POST",
            dispatcher: agent,
            headers: { "content-type": "application/json" },
            body: JSON.stringify(order),
            signal: AbortSignal.timeout(orderTimeoutMs),
        });
        await res.body.dump();
        return orderAnswers[res.statusCode] ?? (res.statusCode < 500 ? OrderAnswer.Refused : OrderAnswer.Unknown);
    }
    catch (err) {
        return verdictOfError(err) === Verdict.NotRun ? OrderAnswer.Refused : OrderAnswer.Unknown;
    }
};

const readReport = async (agent: Dispatcher, url: string): Promise<EngineReport> => {
    const res = await request(`${url}/engine/report`, { dispatcher: agent, signal: AbortSignal.timeout(reportTimeoutMs) });
    return JSON.parse(await readAnswerText(res.body, { maxBytes: maxReportBytes, timeoutMs: reportTimeoutMs })) as EngineReport;
};

/** Creates a lookup of HTTP engine clients, which share one connection pool. */
export const createEngineLookup = (): EngineLookup => {
    const agent = new Agent({ connect: createPunctualConnector({ timeout: connectTimeoutMs }), keepAliveTimeout: 4_000 });
    const clients = new Map<string, Engine>();
    return url => {
        let client = clients.get(url);
        if (!client) {
            client = {
                generate: (req, onChunk) => generate(agent, url, req, onChunk),
                report: () => readReport(agent, url),
                order: order => sendOrder(agent, url, order),
            };
            clients.set(url, client);
        }
        return client;
    };
};

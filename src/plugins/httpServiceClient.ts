import type { Dispatcher } from "undici";
import { Agent, request } from "undici";
import { FailureError, raise } from "../core/failures";
import { FailureKind } from "../types/failureKind";
import type { ServiceClient, ServiceRequest } from "../types/service";
import { Verdict } from "../types/verdict";
import { createPunctualConnector } from "../utils/punctualConnector";
import { abortAfter } from "../utils/time";
import { errorCodeOf, readBody, verdictOfError } from "../utils/transport";

const connectTimeoutMs = 500;
const maxAnswerBytes = 8_388_608;
/** Header in which a service states explicitly that it did not run the call. */
const verdictHeader = "jackdawtrail-verdict";
/** Headers of a service's answer that are forwarded to the caller. */
const forwardedHeaders = ["content-type", "location", "etag"] as const;

const send = async (agent: Dispatcher, url: string, req: ServiceRequest): Promise<Dispatcher.ResponseData> => {
    try {
        return await request(`${url}${req.path}`, {
            method: req.method as Dispatcher.HttpMethod,
            dispatcher: agent,
            headers: { ...req.headers, "x-request-id": req.attemptId },
            body: req.body.length > 0 ? req.body : undefined,
            // Bounds the whole answer: bytes that are no answer may arrive without end.
            signal: abortAfter(req.timeoutMs),
        });
    }
    catch (err) {
        return raise(FailureKind.UpstreamLost, errorCodeOf(err), verdictOfError(err));
    }
};

const call = async (agent: Dispatcher, url: string, req: ServiceRequest) => {
    const res = await send(agent, url, req);
    const echoedId = res.headers["x-request-id"];
    if (echoedId !== undefined && echoedId !== req.attemptId) {
        res.body.destroy();
        return raise(FailureKind.AnswerMismatch, `the answer belongs to request ${String(echoedId)}`, Verdict.MayHaveRun);
    }
    if (res.headers[verdictHeader] === Verdict.NotRun) {
        await res.body.dump();
        return raise(FailureKind.UpstreamRefused, `status ${res.statusCode}`);
    }
    try {
        const result = await readBody(res.body, { maxBytes: maxAnswerBytes, timeoutMs: req.timeoutMs });
        if (result.kind !== "whole") {
            res.body.on("error", () => undefined).destroy();
            return result.kind === "too-large"
                ? raise(FailureKind.UpstreamFailed, "the answer exceeds the maximum size", Verdict.Ran)
                : raise(FailureKind.AnswerTruncated, `the answer was ${result.kind}`, Verdict.MayHaveRun);
        }
        const { body } = result;
        const headers = Object.fromEntries(forwardedHeaders.filter(name => res.headers[name] !== undefined).map(name => [name, String(res.headers[name])]));
        return { status: res.statusCode, headers, body: body.toString("base64") };
    }
    catch (err) {
        if (err instanceof FailureError) {
            throw err;
        }
        return raise(FailureKind.AnswerTruncated, errorCodeOf(err), Verdict.MayHaveRun);
    }
};

/** Creates an HTTP client of services. */
export const createServiceClient = (): ServiceClient => {
    const keepAliveAgent = new Agent({ connect: createPunctualConnector({ timeout: connectTimeoutMs }), keepAliveTimeout: 4_000 });
    // The service may close an idle connection just as a call is sent, which leaves unknown whether the call ran: calls that must not be repeated
    // therefore each use a new connection.
    const singleUseAgent = new Agent({ connect: createPunctualConnector({ timeout: connectTimeoutMs }), pipelining: 0 });
    return { call: (url, req) => call(req.repeatable ? keepAliveAgent : singleUseAgent, url, req) };
};

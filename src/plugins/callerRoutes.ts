import { adapterArtifact, modelArtifact } from "../core/artifacts";
import { raise } from "../core/failures";
import type { Generation } from "../core/generation";
import { generateAnswer } from "../core/generation";
import type { AdapterRecord, CallerRecord, ModelRecord } from "../core/recordSchemas";
import { callService } from "../core/serviceCall";
import type { NodeContext } from "../node/context";
import { RecordKind } from "../types/config";
import { FailureKind } from "../types/failureKind";
import type { HttpExchange, HttpRoute } from "../types/httpExchange";
import { RequestMetric } from "../types/requestMetric";
import type { ServiceClient } from "../types/service";
import { Verdict } from "../types/verdict";
import { requestIdHeader, sendJson, verdictHeader } from "../utils/problems";
import type { AnswerWriter } from "./answerWriter";
import { createBufferedAnswerWriter, createStreamingAnswerWriter } from "./answerWriter";
import { authenticate, deadlineOf, parseJsonObject, readWholeBody } from "./callerRequest";
import type { Metrics } from "./metrics";

const chatPath = "/v1/chat/completions";
const servicePrefix = "/services/";
/** Caller headers that are forwarded to a service. */
const forwardedHeaders = ["content-type", "accept"] as const;

interface ResolvedOffer {
    readonly model: ModelRecord;
    readonly adapter: AdapterRecord | undefined;
    readonly name: string;
}

const isOffered = (names: readonly string[] | undefined, ...requested: readonly string[]): boolean =>
    names === undefined || requested.some(name => names.includes(name));

/** Resolves the names in a request: `model` names a model or an adapter, `adapter` names an adapter of the model. */
const resolveOffer = (node: NodeContext, caller: CallerRecord, body: Readonly<Record<string, unknown>>): ResolvedOffer => {
    if (typeof body.model !== "string") {
        return raise(FailureKind.BadRequest, "model is not a string");
    }
    if (body.adapter !== undefined && typeof body.adapter !== "string") {
        return raise(FailureKind.BadRequest, "adapter is not a string");
    }
    const namedModel = node.config.get(RecordKind.Model, body.model);
    const adapterName = body.adapter ?? (namedModel ? undefined : body.model);
    const adapter = adapterName === undefined ? undefined : node.config.get(RecordKind.Adapter, adapterName);
    if (body.adapter !== undefined && (!adapter || (namedModel && adapter.model !== namedModel.name))) {
        return raise(FailureKind.UnknownAdapter, `${body.adapter} of model ${body.model}`);
    }
    const model = namedModel ?? (adapter && node.config.get(RecordKind.Model, adapter.model));
    if (!model) {
        return raise(FailureKind.UnknownModel, body.model);
    }
    if (!isOffered(caller.models, model.name, ...(adapter ? [adapter.name] : []))) {
        return raise(FailureKind.NotOffered, `${body.model} is not offered to ${caller.name}`);
    }
    return { model, adapter, name: body.model };
};

const promptOf = (body: Readonly<Record<string, unknown>>, isChat: boolean): string => {
    if (isChat) {
        return Array.isArray(body.messages) && body.messages.length > 0
            ? JSON.stringify(body.messages)
            : raise(FailureKind.BadRequest, "messages is not a list with at least one message");
    }
    return typeof body.prompt === "string" ? body.prompt : raise(FailureKind.BadRequest, "prompt is not a string");
};

/** Wraps a writer to measure the time to the first token, the times between chunks and the total time. */
const measureWriter = (writer: AnswerWriter, metrics: Metrics, startedAt: number): AnswerWriter => {
    let lastAt: number | undefined;
    return {
        write: chunk => {
            const now = performance.now();
            metrics.observe(lastAt === undefined ? RequestMetric.FirstToken : RequestMetric.BetweenTokens, now - (lastAt ?? startedAt));
            lastAt = now;
            return writer.write(chunk);
        },
        end: () => {
            metrics.observe(RequestMetric.Total, performance.now() - startedAt);
            writer.end();
        },
    };
};

const handleGeneration = (node: NodeContext, metrics: Metrics) => async (exchange: HttpExchange): Promise<void> => {
    const caller = authenticate(node, exchange);
    const deadlineAt = deadlineOf(node, exchange);
    const body = parseJsonObject(await readWholeBody(node, exchange));
    const isChat = exchange.url.pathname === chatPath;
    const offer = resolveOffer(node, caller, body);
    const generation: Generation = {
        requestId: exchange.requestId,
        caller: caller.name,
        priority: caller.priority,
        path: exchange.url.pathname,
        body,
        deployment: offer.model.deployment,
        model: modelArtifact(offer.model),
        adapter: offer.adapter && adapterArtifact(offer.adapter),
        prompt: promptOf(body, isChat),
        deadlineAt,
        signal: exchange.signal,
    };
    const writer = body.stream === true ? createStreamingAnswerWriter(exchange, offer.name) : createBufferedAnswerWriter(exchange, offer.name, isChat);
    const measuredWriter = measureWriter(writer, metrics, exchange.startedAt);
    await generateAnswer(node, generation, measuredWriter);
    measuredWriter.end();
};

const handleModels = (node: NodeContext) => (exchange: HttpExchange): void => {
    const caller = authenticate(node, exchange);
    const models = node.config.all(RecordKind.Model).filter(model => isOffered(caller.models, model.name));
    const adapters = node.config.all(RecordKind.Adapter).filter(adapter => isOffered(caller.models, adapter.name, adapter.model));
    const data = [
        ...models.map(model => ({ id: model.name, object: "model", owned_by: model.deployment })),
        ...adapters.map(adapter => ({ id: adapter.name, object: "model", owned_by: adapter.model, parent: adapter.model })),
    ];
    sendJson(exchange, 200, { object: "list", data });
};

const handleService = (node: NodeContext, client: ServiceClient) => async (exchange: HttpExchange): Promise<void> => {
    const caller = authenticate(node, exchange);
    const deadlineAt = deadlineOf(node, exchange);
    const serviceUrlPath = exchange.url.pathname.slice(servicePrefix.length);
    const name = decodeURIComponent(serviceUrlPath.split("/")[0]!);
    const service = node.config.get(RecordKind.Service, name) ?? raise(FailureKind.UnknownService, name);
    if (!isOffered(caller.services, name)) {
        raise(FailureKind.NotOffered, `${name} is not offered to ${caller.name}`);
    }
    const { headers, method } = exchange.req;
    const key = headers["idempotency-key"];
    const outcome = await callService(node, client, {
        requestId: exchange.requestId,
        caller: caller.name,
        service,
        method: method!,
        path: `${serviceUrlPath.slice(serviceUrlPath.indexOf("/") < 0 ? serviceUrlPath.length : serviceUrlPath.indexOf("/")) || "/"}${exchange.url.search}`,
        headers: Object.fromEntries(forwardedHeaders.filter(header => headers[header] !== undefined).map(header => [header, headers[header]!])),
        body: await readWholeBody(node, exchange),
        idempotencyKey: Array.isArray(key) ? key[0] : key,
        deadlineAt,
    });
    exchange.res.writeHead(outcome.status, { ...outcome.headers, [verdictHeader]: Verdict.Ran, [requestIdHeader]: exchange.requestId });
    exchange.res.end(Buffer.from(outcome.body, "base64"));
};

/** Creates the callers' HTTP routes. */
export const createCallerRoutes = (node: NodeContext, client: ServiceClient, metrics: Metrics): readonly HttpRoute[] => [
    { path: chatPath, methods: ["POST"], handle: handleGeneration(node, metrics) },
    { path: "/v1/completions", methods: ["POST"], handle: handleGeneration(node, metrics) },
    { path: "/v1/models", methods: ["GET"], handle: handleModels(node) },
    { path: servicePrefix, methods: ["GET", "POST", "PUT", "PATCH", "DELETE"], handle: handleService(node, client) },
];

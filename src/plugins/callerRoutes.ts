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
/** Headers of a caller that reach a plain service. */
const passedHeaders = ["content-type", "accept"] as const;

interface Offered {
    readonly model: ModelRecord;
    readonly adapter: AdapterRecord | undefined;
    readonly name: string;
}

const isOffered = (names: readonly string[] | undefined, ...wanted: readonly string[]): boolean =>
    names === undefined || wanted.some(name => names.includes(name));

/** Resolves the names in a request: `model` names a model or an adapter, `adapter` names an adapter of the model. */
const resolveOffer = (node: NodeContext, caller: CallerRecord, body: Readonly<Record<string, unknown>>): Offered => {
    if (typeof body.model !== "string") {
        return raise(FailureKind.BadRequest, "model is not a text");
    }
    if (body.adapter !== undefined && typeof body.adapter !== "string") {
        return raise(FailureKind.BadRequest, "adapter is not a text");
    }
    const direct = node.config.get(RecordKind.Model, body.model);
    const adapterName = body.adapter ?? (direct ? undefined : body.model);
    const adapter = adapterName === undefined ? undefined : node.config.get(RecordKind.Adapter, adapterName);
    if (body.adapter !== undefined && (!adapter || (direct && adapter.model !== direct.name))) {
        return raise(FailureKind.UnknownAdapter, `${body.adapter} of model ${body.model}`);
    }
    const model = direct ?? (adapter && node.config.get(RecordKind.Model, adapter.model));
    if (!model) {
        return raise(FailureKind.UnknownModel, body.model);
    }
    if (!isOffered(caller.models, model.name, ...(adapter ? [adapter.name] : []))) {
        return raise(FailureKind.NotOffered, `${body.model} to ${caller.name}`);
    }
    return { model, adapter, name: body.model };
};

const promptOf = (body: Readonly<Record<string, unknown>>, isChat: boolean): string => {
    if (isChat) {
        return Array.isArray(body.messages) && body.messages.length > 0
            ? JSON.stringify(body.messages)
            : raise(FailureKind.BadRequest, "messages is not a list with at least one message");
    }
    return typeof body.prompt === "string" ? body.prompt : raise(FailureKind.BadRequest, "prompt is not a text");
};

/** Measures the times between the pieces on their way. */
const measureAnswer = (answer: AnswerWriter, metrics: Metrics, startedAt: number): AnswerWriter => {
    let lastAt: number | undefined;
    return {
        write: chunk => {
            const now = performance.now();
            metrics.observe(lastAt === undefined ? RequestMetric.FirstToken : RequestMetric.BetweenTokens, now - (lastAt ?? startedAt));
            lastAt = now;
            return answer.write(chunk);
        },
        end: () => {
            metrics.observe(RequestMetric.Total, performance.now() - startedAt);
            answer.end();
        },
    };
};

const handleGeneration = (node: NodeContext, metrics: Metrics) => async (exchange: HttpExchange): Promise<void> => {
    const caller = authenticate(node, exchange);
    const deadlineAt = deadlineOf(node, exchange);
    const body = parseJsonObject(await readWholeBody(node, exchange));
    const isChat = exchange.url.pathname === chatPath;
    const offered = resolveOffer(node, caller, body);
    const generation: Generation = {
        requestId: exchange.requestId,
        caller: caller.name,
        priority: caller.priority,
        path: exchange.url.pathname,
        body,
        deployment: offered.model.deployment,
        model: modelArtifact(offered.model),
        adapter: offered.adapter && adapterArtifact(offered.adapter),
        prompt: promptOf(body, isChat),
        deadlineAt,
        signal: exchange.signal,
    };
    const plain = body.stream === true ? createStreamingAnswerWriter(exchange, offered.name) : createBufferedAnswerWriter(exchange, offered.name, isChat);
    const answer = measureAnswer(plain, metrics, exchange.startedAt);
    await generateAnswer(node, generation, answer);
    answer.end();
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
    const rest = exchange.url.pathname.slice(servicePrefix.length);
    const name = decodeURIComponent(rest.split("/")[0]!);
    const service = node.config.get(RecordKind.Service, name) ?? raise(FailureKind.UnknownService, name);
    if (!isOffered(caller.services, name)) {
        raise(FailureKind.NotOffered, `${name} to ${caller.name}`);
    }
    const { headers, method } = exchange.req;
    const key = headers["idempotency-key"];
    const outcome = await callService(node, client, {
        requestId: exchange.requestId,
        caller: caller.name,
        service,
        method: method!,
        path: `${rest.slice(rest.indexOf("/") < 0 ? rest.length : rest.indexOf("/")) || "/"}${exchange.url.search}`,
        headers: Object.fromEntries(passedHeaders.filter(header => headers[header] !== undefined).map(header => [header, headers[header]!])),
        body: await readWholeBody(node, exchange),
        idempotencyKey: Array.isArray(key) ? key[0] : key,
        deadlineAt,
    });
    exchange.res.writeHead(outcome.status, { ...outcome.headers, [verdictHeader]: Verdict.Ran, [requestIdHeader]: exchange.requestId });
    exchange.res.end(Buffer.from(outcome.body, "base64"));
};

/** The routes of callers. */
export const createCallerRoutes = (node: NodeContext, client: ServiceClient, metrics: Metrics): readonly HttpRoute[] => [
    { path: chatPath, methods: ["POST"], handle: handleGeneration(node, metrics) },
    { path: "/v1/completions", methods: ["POST"], handle: handleGeneration(node, metrics) },
    { path: "/v1/models", methods: ["GET"], handle: handleModels(node) },
    { path: servicePrefix, methods: ["GET", "POST", "PUT", "PATCH", "DELETE"], handle: handleService(node, client) },
];

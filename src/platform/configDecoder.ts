import { z } from "zod";
import type { EngineSpec, ServiceRoute, ServingConfig } from "../types/servingConfig";
import { RouteKind } from "../types/servingConfig";
import { maxTimerMs } from "../utils/time";
import { parseJson, parseWith } from "./schemas";

const routeKindOf: Readonly<Record<string, RouteKind>> = {
    idempotent: RouteKind.Idempotent,
    non_idempotent: RouteKind.NonIdempotent,
    streaming: RouteKind.Streaming,
};

/** A time that a timer can wait. */
const duration = z.number().transform(ms => Math.min(maxTimerMs, Math.max(0, ms)));

const routeSchema = z.object({
    name: z.string(),
    host: z.string(),
    prefix: z.string(),
    routeKind: z.string(),
    timeoutMs: duration,
    sloMs: z.number().default(0),
    gapAimMs: z.number().optional(),
    priority: z.number().default(0),
    service: z.string().optional(),
    split: z.array(z.object({ service: z.string(), weight: z.number().min(0) })).optional(),
    attempts: z.number().int().default(1),
    resumable: z.boolean().default(false),
});

const modelSchema = z.object({
    name: z.string(),
    weightsMb: z.number(),
    loadS: z.number(),
    warmS: z.number().optional(),
    diskS: z.number().optional(),
    adapters: z.number().int().default(0),
    adapterSizeMb: z.number().default(0),
});

const engineSchema = z.object({
    slots: z.number(),
    kvCapacity: z.number(),
    /** Tokens in one event of a stream. */
    stride: z.number().positive().default(1),
    /** Memory of a runner for the weights of models and adapters together. */
    weightsMb: z.number().default(Number.POSITIVE_INFINITY),
    adapterSlots: z.number().int().default(0),
    loadsPerS: z.number().default(Number.POSITIVE_INFINITY),
    models: z.array(modelSchema).default([]),
});

const configSchema = z.object({
    version: z.number().min(0),
    routes: z.array(routeSchema),
    services: z.array(z.object({ name: z.string(), healthPath: z.string(), maxConns: z.number(), engine: engineSchema.optional() })),
    limits: z.object({ maxHeaderBytes: z.number(), maxBodyBytes: z.number(), headerTimeoutMs: duration, idleTimeoutMs: duration }),
});

const toRoute = (route: z.infer<typeof routeSchema>): ServiceRoute => ({
    name: route.name,
    host: route.host.toLowerCase(),
    prefix: route.prefix,
    // A route whose kind is unknown may not be safe to retry, so it is treated as non-idempotent.
    kind: routeKindOf[route.routeKind] ?? RouteKind.NonIdempotent,
    timeoutMs: route.timeoutMs,
    latencyObjectiveMs: route.sloMs,
    eventGapObjectiveMs: route.gapAimMs,
    priority: route.priority,
    targets: route.split ?? (route.service === undefined ? [] : [{ service: route.service, weight: 1 }]),
    maxAttempts: route.attempts,
    isResumable: route.resumable,
});

const msPerS = 1_000;

const toEngine = (engine: z.infer<typeof engineSchema>): EngineSpec => ({
    slots: engine.slots,
    kvTokens: engine.kvCapacity,
    tokensPerEvent: engine.stride,
    memoryMb: engine.weightsMb,
    adapterSlots: engine.adapterSlots,
    loadsPerS: engine.loadsPerS,
    models: new Map(engine.models.map(model => [model.name, {
        name: model.name,
        memoryMb: model.weightsMb,
        loadMs: model.loadS * msPerS,
        warmLoadMs: (model.warmS ?? model.loadS) * msPerS,
        diskLoadMs: (model.diskS ?? model.loadS) * msPerS,
        adapters: model.adapters,
        adapterMemoryMb: model.adapterSizeMb,
    }])),
});

/** Outcome of decoding a configuration. */
export type ConfigDecodeResult = { readonly config: ServingConfig; } | { readonly faults: readonly string[]; };

/** Decodes the configuration that operators publish. */
export const decodeConfig = (bytes: Buffer): ConfigDecodeResult => {
    const result = parseWith(configSchema, parseJson(bytes));
    if ("faults" in result) {
        return result;
    }
    const { version, routes, services, limits } = result.value;
    return {
        config: {
            version,
            routes: routes.map(toRoute),
            services: new Map(services.map(({ name, healthPath, maxConns, engine }) => [name, {
                name,
                healthPath,
                maxConnections: maxConns,
                engine: engine && toEngine(engine),
            }])),
            limits,
        },
    };
};

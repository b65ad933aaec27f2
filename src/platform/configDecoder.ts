import { z } from "zod";
import type { CustomerSpec } from "../types/customer";
import { UsageUnit } from "../types/customer";
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
    public: z.boolean().default(false),
});

const tokenUnit = "token_budget";
const tenantSchema = z.object({
    /** It is sent to upstreams in a header. */
    name: z.string().regex(/^[\x21-\x7e\x80-\xff](?:[\x20-\x7e\x80-\xff]*[\x21-\x7e\x80-\xff])?$/, "must be a non-empty header value"),
    apiKeys: z.array(z.string().min(1)).default([]),
    priority: z.number().min(0).optional(),
    /** Requests are counted without it. */
    unit: z.literal(tokenUnit).optional(),
    /** Tokens that a request without `Token-Count` counts as. */
    plainTokens: z.number().min(0).default(0),
    ratePerS: z.number().min(0).default(0),
    burst: z.number().min(0).default(0),
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
    tenants: z.array(tenantSchema).optional(),
});

/** Callers give a stream up after the longest of these: a fixed time, and multiples of the latency objective and of the allowed gap between events. */
const minPatienceMs = 2_000;
const patiencePerObjective = 4;
const patiencePerGap = 8;

const patienceMsOf = ({ routeKind, sloMs, gapAimMs = 0 }: z.infer<typeof routeSchema>): number | undefined =>
    routeKindOf[routeKind] === RouteKind.Streaming ? Math.max(minPatienceMs, patiencePerObjective * sloMs, patiencePerGap * gapAimMs) : undefined;

const toRoute = (route: z.infer<typeof routeSchema>): ServiceRoute => ({
    name: route.name,
    host: route.host.toLowerCase(),
    prefix: route.prefix,
    // A route whose kind is unknown may not be safe to retry, so it is treated as non-idempotent.
    kind: routeKindOf[route.routeKind] ?? RouteKind.NonIdempotent,
    timeoutMs: route.timeoutMs,
    latencyObjectiveMs: route.sloMs,
    eventGapObjectiveMs: route.gapAimMs,
    patienceMs: patienceMsOf(route),
    priority: route.priority,
    targets: route.split ?? (route.service === undefined ? [] : [{ service: route.service, weight: 1 }]),
    maxAttempts: route.attempts,
    isResumable: route.resumable,
    isPublic: route.public,
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

const toCustomer = ({ name, apiKeys, priority, unit, plainTokens, ratePerS, burst }: z.infer<typeof tenantSchema>): CustomerSpec => ({
    name,
    apiKeys,
    priority,
    limit: ratePerS === 0 && burst === 0
        ? undefined
        : { unit: unit === tokenUnit ? UsageUnit.Tokens : UsageUnit.Requests, perSecond: ratePerS, burst, plainTokens },
});

/** Longest name of a customer in a fault. */
const maxLoggedNameLength = 100;
const namedTenantsSchema = z.object({ tenants: z.array(z.unknown()) });
const namedTenantSchema = z.object({ name: z.string() });
const tenantFaultPath = /^tenants\.(\d+)/;

/** Adds the customer's name to a fault of its entry. */
const withTenantName = (fault: string, document: unknown): string => {
    const index = tenantFaultPath.exec(fault)?.[1];
    const entry = index === undefined ? undefined : namedTenantsSchema.safeParse(document).data?.tenants[Number(index)];
    const name = namedTenantSchema.safeParse(entry).data?.name;
    return name === undefined ? fault : `${fault} (customer ${JSON.stringify(name.slice(0, maxLoggedNameLength))})`;
};

/** Faults of keys that several customers have; the keys themselves are not named. */
const findSharedKeys = (tenants: readonly z.infer<typeof tenantSchema>[]): readonly string[] => {
    const ownerByKey = new Map<string, number>();
    const faults = new Set<string>();
    for (const [index, { name, apiKeys }] of tenants.entries()) {
        for (const key of apiKeys) {
            const owner = ownerByKey.get(key) ?? index;
            if (owner !== index) {
                const names = [tenants[owner]!.name, name].map(text => JSON.stringify(text.slice(0, maxLoggedNameLength)));
                faults.add(`tenants.${index}.apiKeys: customers ${names.join(" and ")} have the same key`);
            }
            ownerByKey.set(key, owner);
        }
    }
    return [...faults];
};

/** Outcome of decoding a configuration. */
export type ConfigDecodeResult = { readonly config: ServingConfig; } | { readonly faults: readonly string[]; };

/** Decodes the configuration that operators publish. */
export const decodeConfig = (bytes: Buffer): ConfigDecodeResult => {
    const document = parseJson(bytes);
    const result = parseWith(configSchema, document);
    if ("faults" in result) {
        return { faults: result.faults.map(fault => withTenantName(fault, document)) };
    }
    const { version, routes, services, limits, tenants } = result.value;
    const sharedKeyFaults = findSharedKeys(tenants ?? []);
    if (sharedKeyFaults.length > 0) {
        return { faults: sharedKeyFaults };
    }
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
            customers: tenants?.map(toCustomer),
        },
    };
};

import type { CustomerSpec } from "./customer";

/** How the requests of a route may be retried. */
export enum RouteKind {
    Idempotent = "idempotent",
    NonIdempotent = "non-idempotent",
    Streaming = "streaming",
}

/** A service that gets a share of a route's requests, by weight. */
export interface RouteTarget {
    readonly service: string;
    readonly weight: number;
}

/** Sends the requests of one host and path prefix to services. */
export interface ServiceRoute {
    readonly name: string;
    readonly host: string;
    /** Path prefix; begins and ends with a slash. */
    readonly prefix: string;
    readonly kind: RouteKind;
    /** Longest time for which a caller waits for an answer. */
    readonly timeoutMs: number;
    /** Latency objective of the route's requests. */
    readonly latencyObjectiveMs: number;
    /** Objective for the gap between two events of a stream; undefined for other routes. */
    readonly eventGapObjectiveMs?: number;
    /** Longest gap, also before the first event, after which callers give a stream up; undefined for other routes. */
    readonly patienceMs?: number;
    /** Priority of the route's requests; 0 is served first. */
    readonly priority: number;
    readonly targets: readonly RouteTarget[];
    /** Maximum number of upstreams that one request may be sent to. */
    readonly maxAttempts: number;
    /** Whether a stream may be resumed on another upstream after its last event. */
    readonly isResumable: boolean;
    /** Whether requests need no API key where customers are declared. */
    readonly isPublic?: boolean;
}

/** A model that an engine service offers. */
export interface ModelSpec {
    readonly name: string;
    readonly memoryMb: number;
    /** Load times from the weight store, from the runner's memory and from its disk. */
    readonly loadMs: number;
    readonly warmLoadMs: number;
    readonly diskLoadMs: number;
    readonly adapters: number;
    readonly adapterMemoryMb: number;
}

/** Properties of a service's engines, which are identical. */
export interface EngineSpec {
    /** Maximum requests in one batch. */
    readonly slots: number;
    readonly kvTokens: number;
    /** Tokens in one event of a stream. */
    readonly tokensPerEvent: number;
    readonly memoryMb: number;
    readonly adapterSlots: number;
    /** Loads per second that the weight store allows for all runners together. */
    readonly loadsPerS: number;
    readonly models: ReadonlyMap<string, ModelSpec>;
}

/** A group of interchangeable upstreams. */
export interface ServiceSpec {
    readonly name: string;
    readonly healthPath: string;
    /** Maximum connections that one upstream accepts from all nodes together. */
    readonly maxConnections: number;
    readonly engine?: EngineSpec;
}

/** Limits on callers' requests. */
export interface CallerLimits {
    readonly maxHeaderBytes: number;
    readonly maxBodyBytes: number;
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
}

/** The serving configuration, which operators publish as one document. */
export interface ServingConfig {
    readonly version: number;
    readonly routes: readonly ServiceRoute[];
    readonly services: ReadonlyMap<string, ServiceSpec>;
    readonly limits: CallerLimits;
    /** Undefined if operators declare none: then no request needs an API key. */
    readonly customers?: readonly CustomerSpec[];
}

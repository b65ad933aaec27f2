/** What may be repeated on a route. */
export enum RouteKind {
    Idempotent = "idempotent",
    NonIdempotent = "non-idempotent",
    Streaming = "streaming",
}

/** A share of a route's requests that goes to one service. */
export interface RouteTarget {
    readonly service: string;
    readonly weight: number;
}

/** Sends the requests of one host and path prefix to services. */
export interface ServiceRoute {
    readonly name: string;
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly prefix: string;
    readonly kind: RouteKind;
    /** Longest time that a caller is kept waiting. */
    readonly timeoutMs: number;
    /** Latency objective. */
    readonly latencyObjectiveMs: number;
    /** Longest pause between the events of a stream that is on time, undefined for other routes. */
    readonly eventGapObjectiveMs?: number;
    /** Rank of the route's requests; 0 comes first. */
    readonly priority: number;
    readonly targets: readonly RouteTarget[];
    /** Upstreams that one request may be sent to, at most. */
    readonly maxAttempts: number;
    /** Whether a stream may go on at another upstream after its last event. */
    readonly isResumable: boolean;
}

/** A model that an engine service offers. */
export interface ModelSpec {
    readonly name: string;
    readonly memoryMb: number;
    /** Load times: from the weight store, from the runner's memory, from its disk. */
    readonly loadMs: number;
    readonly warmLoadMs: number;
    readonly diskLoadMs: number;
    readonly adapters: number;
    readonly adapterMemoryMb: number;
}

/** Engines of a service, which are alike. */
export interface EngineSpec {
    /** Requests in one batch. */
    readonly slots: number;
    readonly kvTokens: number;
    readonly memoryMb: number;
    readonly adapterSlots: number;
    /** Loads a second that the weight store allows over all runners. */
    readonly loadsPerS: number;
    readonly models: ReadonlyMap<string, ModelSpec>;
}

/** A group of upstreams that answer alike. */
export interface ServiceSpec {
    readonly name: string;
    readonly healthPath: string;
    /** Connections that one upstream accepts from all nodes together. */
    readonly maxConnections: number;
    readonly engine?: EngineSpec;
}

/** Limits on what a caller may send. */
export interface CallerLimits {
    readonly maxHeaderBytes: number;
    readonly maxBodyBytes: number;
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
}

/** The configuration that operators publish as one document. */
export interface ServingConfig {
    readonly version: number;
    readonly routes: readonly ServiceRoute[];
    readonly services: ReadonlyMap<string, ServiceSpec>;
    readonly limits: CallerLimits;
}

import { request } from "node:http";
import { CallerServer } from "../../src/forward/callerServer";
import { Gateway } from "../../src/forward/gateway";
import { defaultTransportLimits } from "../../src/node/transportLimitSettings";
import { requestHeaderCodec } from "../../src/platform/requestHeaderCodec";
import type { PlatformNodeSettings } from "../../src/types/platformNodeSettings";
import type { EngineSpec, ServiceRoute } from "../../src/types/servingConfig";
import { RouteKind } from "../../src/types/servingConfig";
import { UpstreamState } from "../../src/types/upstreamServer";
import { createRandom } from "../../src/utils/random";
import { reservePort } from "./ports";

/** Settings of a platform node on loopback. */
export const platformTestSettings: PlatformNodeSettings = {
    nodeId: "node-1@127.0.0.1",
    ip: "127.0.0.1",
    availabilityZone: "a",
    callerAddress: "127.0.0.1:0",
    readyAddress: "127.0.0.1:0",
    peerAddress: "127.0.0.1:0",
    metricsAddress: "127.0.0.1:0",
    storeAddress: "127.0.0.1:0",
    seeds: [],
    cores: 1,
    memoryBytes: 4_294_967_296,
    maxDescriptors: 4_100,
    heartbeatMs: 1_000,
    drainMs: 2_000,
    applyMs: 2_000,
    isRevocationStrict: false,
    revokeMs: 5_000,
    usageWindowMs: 10_000,
    usageOverrun: 0,
    usageSlack: 0,
    hasRunnerPressure: false,
    graceMs: 8_000,
    retryRatio: 0.2,
    retryWindowMs: 10_000,
    retrySlack: 100,
    limits: defaultTransportLimits,
    turnGapMs: 3_000,
    loadWindowMs: 5_000,
};

const baseRoute: ServiceRoute = {
    name: "r",
    host: "shop.example",
    prefix: "/desk/",
    kind: RouteKind.NonIdempotent,
    timeoutMs: 2_000,
    latencyObjectiveMs: 300,
    priority: 1,
    targets: [{ service: "desk", weight: 1 }],
    maxAttempts: 1,
    isResumable: false,
};

/** A running gateway with one route to the given upstreams. */
export interface TestGateway {
    readonly gateway: Gateway;
    readonly address: string;
    /** Stops as a planned stop does that has been noticed, with this time until the exit. */
    stop(exitInMs: number): void;
    close(): void;
}

/** What a test changes of the settings and the configuration. */
interface GatewayOptions {
    readonly settings?: Partial<PlatformNodeSettings>;
    readonly engine?: EngineSpec;
    readonly maxBodyBytes?: number;
}

/** Starts a gateway in this process; the upstreams have the software versions given, or none, and bodies of requests may have a size. */
export const startGateway = async (
    upstreams: readonly string[],
    route: Partial<ServiceRoute> = {},
    softwareVersions: readonly string[] = [],
    { settings = {}, engine, maxBodyBytes = 10_000 }: GatewayOptions = {},
): Promise<TestGateway> => {
    const gateway = Gateway.create({ ...platformTestSettings, ...settings }, requestHeaderCodec, createRandom(1));
    const limits = { maxHeaderBytes: 4_096, maxBodyBytes, headerTimeoutMs: 3_000, idleTimeoutMs: 5_000 };
    gateway.applyConfig({
        version: 1,
        routes: [{ ...baseRoute, ...route }],
        services: new Map([["desk", { name: "desk", healthPath: "/healthz", maxConnections: 100, engine }]]),
        limits,
    }, Buffer.from(""));
    upstreams.forEach((address, index) =>
        gateway.directory.apply({
            id: `up-${index}`,
            version: index + 1,
            server: {
                id: `up-${index}`,
                service: "desk",
                address,
                availabilityZone: "a",
                softwareVersion: softwareVersions[index],
                slots: 8,
                state: UpstreamState.Ready,
                models: [{ name: "m", version: 1, adapters: [] }],
                inMemory: [],
                onDisk: [],
                bornAt: 1,
                acceptedOrders: 0,
            },
        })
    );
    const server = CallerServer.create(gateway);
    const address = `127.0.0.1:${await reservePort()}`;
    await server.listen(address);
    server.applyLimits();
    const stop = (exitInMs: number): void => {
        gateway.isStopping = true;
        gateway.stopRequestedAt = performance.now();
        gateway.exitDeadlineAt = gateway.stopRequestedAt + exitInMs;
        void server.close(gateway.exitDeadlineAt);
    };
    return { gateway, address, stop, close: () => void server.close(0) };
};

/** Result of a caller's request. */
export interface CallerResult {
    /** Undefined if the connection ended without an answer. */
    readonly status?: number;
    readonly headers: Readonly<Record<string, unknown>>;
    readonly body: string;
    readonly isComplete: boolean;
    readonly afterMs: number;
}

/** Options of a caller's request. */
export interface CallerRequest {
    readonly method?: string;
    readonly path?: string;
    readonly host?: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string;
    /** The caller aborts the request after this time. */
    readonly abortAfterMs?: number;
    /** The caller aborts the request once it has received this many events of a stream. */
    readonly abortAfterEvents?: number;
    /** Whether the part of an answer that arrived counts if the connection ends early. */
    readonly keepsPart?: boolean;
    /** Address on loopback from which the request comes. */
    readonly localAddress?: string;
}

/** Sends a request as a caller does and waits until it completes, fails or is aborted. */
export const callGateway = (
    address: string,
    {
        method = "POST",
        path = "/desk/x",
        host = "shop.example",
        headers = {},
        body = "",
        abortAfterMs,
        abortAfterEvents = Number.POSITIVE_INFINITY,
        keepsPart = false,
        localAddress,
    }: CallerRequest = {},
): Promise<CallerResult> =>
    new Promise(resolve => {
        const startedAt = performance.now();
        const chunks: Buffer[] = [];
        const colon = address.lastIndexOf(":");
        const requestHeaders = { host, "attempt-id": "id-1", "deadline-ms": "3000", ...headers };
        const finish = (result: Omit<CallerResult, "afterMs">): void => resolve({ ...result, afterMs: performance.now() - startedAt });
        const req = request(
            { host: address.slice(0, colon), port: Number(address.slice(colon + 1)), method, path, headers: requestHeaders, agent: false, localAddress },
            res => {
                const toResult = (isComplete: boolean) => ({
                    status: res.statusCode,
                    headers: res.headers,
                    body: Buffer.concat(chunks).toString(),
                    isComplete,
                });
                res.on("data", (chunk: Buffer) => {
                    chunks.push(chunk);
                    if (Buffer.concat(chunks).toString().split("\n\n").length > abortAfterEvents) {
                        req.destroy();
                    }
                });
                res.on("end", () => finish(toResult(res.complete)));
                res.on("error", () => finish(toResult(false)));
            },
        );
        req.on("error", () => finish({ headers: {}, body: keepsPart ? Buffer.concat(chunks).toString() : "", isComplete: false }));
        req.end(body);
        if (abortAfterMs !== undefined) {
            setTimeout(() => req.destroy(), abortAfterMs);
        }
    });

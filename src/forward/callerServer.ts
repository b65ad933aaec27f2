import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer } from "node:http";
import { chooseTarget } from "../core/routeTable";
import { EventId } from "../types/eventId";
import type { Failure } from "../types/failure";
import { FailureKind } from "../types/failureKind";
import type { RequestHeaderCodec } from "../types/requestHeaderCodec";
import { Verdict } from "../types/verdict";
import { emit } from "../utils/events";
import { errorCodeOf, readBody } from "../utils/transport";
import { answerFailure } from "./answerFailure";
import type { Call } from "./call";
import { Forwarder } from "./forwarder";
import type { Gateway } from "./gateway";

/** Headers that concern one connection only. */
const connectionHeaders: ReadonlySet<string> = new Set([
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    // Written anew from the body.
    "content-length",
]);

/** Room for headers above what a configuration may allow; the limit in force is checked on each request. */
const maxHeaderBytes = 262_144;
const defaultHeaderTimeoutMs = 10_000;
const defaultIdleTimeoutMs = 15_000;
/** Interval of the check for connections that send too slowly. */
const checkIntervalMs = 1_000;
/** Retry-After of a node that has no configuration yet. */
const startingRetryAfterMs = 500;

const namedByConnection = (req: IncomingMessage): ReadonlySet<string> =>
    new Set((req.headers.connection ?? "").split(",").map(name => name.trim().toLowerCase()));

/** The headers of a caller's request that go on to the upstream, names and values in turn. */
export const headersToForward = (req: IncomingMessage, wire: RequestHeaderCodec): string[] => {
    const dropped = namedByConnection(req);
    const passed: string[] = [];
    for (let at = 0; at < req.rawHeaders.length; at += 2) {
        const name = req.rawHeaders[at]!.toLowerCase();
        const isDropped = connectionHeaders.has(name) || wire.isSystemHeader(name) || (dropped.has(name) && !wire.isEndToEndHeader(name));
        if (!isDropped) {
            passed.push(req.rawHeaders[at]!, req.rawHeaders[at + 1]!);
        }
    }
    return passed;
};

const headerBytes = (req: IncomingMessage): number => req.rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);

const hostOf = (req: IncomingMessage): string => (req.headers.host ?? "").replace(/:\d+$/, "");

const refusalOf = (kind: FailureKind, detail: string, retryAfterMs?: number): Failure => ({ kind, detail, verdict: Verdict.NotRun, retryAfterMs });

/** Takes callers' requests and has them forwarded. */
export class CallerServer {
    private readonly server: Server;

    private constructor(private readonly gateway: Gateway) {
        this.server = createServer({
            maxHeaderSize: maxHeaderBytes,
            headersTimeout: defaultHeaderTimeoutMs,
            requestTimeout: 0,
            keepAliveTimeout: defaultIdleTimeoutMs,
            connectionsCheckingInterval: checkIntervalMs,
            noDelay: true,
        }, (req, res) => void this.handle(req, res));
    }

    /** Makes a server that does not listen yet. */
    static create(gateway: Gateway): CallerServer {
        return new CallerServer(gateway);
    }

    listen(address: string): Promise<void> {
        return listenOn(this.server, address);
    }

    /** Takes the limits of the configuration in force. */
    applyLimits(): void {
        const { limits } = this.gateway.config ?? {};
        if (limits) {
            this.server.headersTimeout = limits.headerTimeoutMs;
            this.server.keepAliveTimeout = limits.idleTimeoutMs;
        }
    }

    /** Takes no new connections and ends idle ones. */
    close(): void {
        this.server.close();
        this.server.closeIdleConnections();
    }

    private async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
        const startedAt = performance.now();
        const leave = new AbortController();
        this.gateway.inProgress++;
        res.on("close", () => {
            this.gateway.inProgress--;
            if (!res.writableFinished) {
                leave.abort();
            }
        });
        if (this.gateway.isStopping) {
            res.setHeader("Connection", "close");
        }
        try {
            const call = await this.toCall(req, res, startedAt, leave.signal);
            if (call) {
                await Forwarder.create(this.gateway, call).run();
            }
        }
        catch (err) {
            const requestId = this.gateway.wire.decodeCaller(req.headers).requestId;
            emit(EventId.RequestFailed, { request: requestId, detail: err instanceof Error ? err.stack : errorCodeOf(err) });
            res.destroy();
        }
    }

    /** Reads a request and finds its route; answers it where that fails. */
    private async toCall(req: IncomingMessage, res: ServerResponse, startedAt: number, signal: AbortSignal): Promise<Call | undefined> {
        const { gateway } = this;
        const caller = gateway.wire.decodeCaller(req.headers);
        const limits = gateway.config?.limits;
        const refuse = (failure: Failure): undefined => {
            if (!req.complete) {
                // What is left of the body is not read.
                res.setHeader("Connection", "close");
            }
            answerFailure(res, caller.requestId, failure, { host: req.headers.host, path: req.url, configVersion: gateway.config?.version });
            return undefined;
        };
        const reading = await readBody(req, limits?.maxBodyBytes ?? Number.MAX_SAFE_INTEGER, caller.deadlineMs ?? defaultHeaderTimeoutMs);
        if (reading.kind === "lost") {
            return undefined;
        }
        const { config, routes } = gateway;
        if (!config || !routes) {
            return refuse(refusalOf(FailureKind.NotReady, "no configuration is known yet", startingRetryAfterMs));
        }
        if (reading.kind !== "whole") {
            return refuse(refusalOf(reading.kind === "slow" ? FailureKind.SlowSender : FailureKind.BodyTooLarge, "the body was not read"));
        }
        if (headerBytes(req) > config.limits.maxHeaderBytes) {
            return refuse(refusalOf(FailureKind.HeadersTooLarge, "the headers exceed the limit"));
        }
        const path = (req.url ?? "/").split("?", 1)[0]!;
        const route = routes.find(hostOf(req), path);
        if (!route) {
            return refuse(refusalOf(FailureKind.UnknownPath, "no route has this host and path"));
        }
        const waitMs = Math.min(caller.deadlineMs ?? route.timeoutMs, route.timeoutMs);
        return {
            req,
            res,
            caller,
            route,
            service: chooseTarget(route.targets, gateway.random) ?? "",
            configVersion: config.version,
            headers: headersToForward(req, gateway.wire),
            body: reading.body,
            startedAt,
            deadlineAt: startedAt + waitMs,
            signal,
        };
    }
}

/** Listens on an IP:PORT address. */
export const listenOn = (server: Server, address: string): Promise<void> => {
    const colon = address.lastIndexOf(":");
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(Number(address.slice(colon + 1)), address.slice(0, colon), () => resolve());
    });
};

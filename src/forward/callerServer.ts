import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer } from "node:http";
import { chooseTarget } from "../core/routeTable";
import { EventId } from "../types/eventId";
import type { Failure } from "../types/failure";
import { FailureKind } from "../types/failureKind";
import { RequestStep } from "../types/requestStep";
import { Verdict } from "../types/verdict";
import { emit } from "../utils/events";
import { GracefulClose } from "../utils/gracefulClose";
import type { ServerPort } from "../utils/listenOn";
import { listenOn } from "../utils/listenOn";
import { errorCodeOf } from "../utils/transport";
import { answerFailure } from "./answerFailure";
import { answerUnexpectedError } from "./answerUnexpectedError";
import { BodyCutoff } from "./bodyCutoff";
import type { Call } from "./call";
import { CallerConnections } from "./callerConnections";
import { CallerPresence } from "./callerPresence";
import { ConnectionTurns } from "./connectionTurns";
import { Forwarder } from "./forwarder";
import type { Gateway } from "./gateway";
import { readRequestBody } from "./requestBody";
import { RequestEnds } from "./requestEnds";
import { headerBytes, headersToForward, hostOf } from "./requestHead";
import { RequestProgress } from "./requestProgress";
import { SuspectParts } from "./suspectParts";
import { createVersionPin } from "./versionPin";

/** Limit of the HTTP parser, above what a configuration may allow; the configured limit is checked on each request. */
const maxHeaderBytes = 262_144;
const defaultHeaderTimeoutMs = 10_000;
const defaultIdleTimeoutMs = 15_000;
/** Interval at which connections are checked for senders that are too slow. */
const checkIntervalMs = 1_000;
/** Retry-After while the node has no configuration. */
const startingRetryAfterMs = 500;

/** Retry-After of a stopping node: another one can accept the request at once. */
const stoppingRetryAfterMs = 50;

const refusalOf = (kind: FailureKind, detail: string, retryAfterMs?: number): Failure => ({ kind, detail, verdict: Verdict.NotRun, retryAfterMs });

/** Accepts callers' requests and forwards them. */
export class CallerServer {
    private readonly server: Server;
    private readonly gracefulClose: GracefulClose;
    private readonly turns = ConnectionTurns.create();
    private readonly bodyCutoff = BodyCutoff.create();
    private readonly connections: CallerConnections;
    private readonly ends: RequestEnds;

    private constructor(private readonly gateway: Gateway) {
        this.server = createServer({
            maxHeaderSize: maxHeaderBytes,
            headersTimeout: defaultHeaderTimeoutMs,
            requestTimeout: 0,
            keepAliveTimeout: defaultIdleTimeoutMs,
            connectionsCheckingInterval: checkIntervalMs,
            noDelay: true,
        }, (req, res) => void this.handle(req, res));
        this.gracefulClose = GracefulClose.create(this.server);
        this.ends = RequestEnds.create(gateway);
        this.connections = CallerConnections.create(this.server, gateway);
    }

    /** Creates a server that is not listening yet. */
    static create(gateway: Gateway): CallerServer {
        return new CallerServer(gateway);
    }

    /** Open connections of callers. */
    get openConnections(): number {
        return this.connections.openCount;
    }

    /** The server with the address at which it is to listen. */
    port(address: string): ServerPort {
        return { server: this.server, address };
    }

    listen(address: string): Promise<void> {
        return listenOn(this.server, address);
    }

    get isListening(): boolean {
        return this.server.listening;
    }

    /** Applies the limits of the active configuration. */
    applyLimits(): void {
        const { limits } = this.gateway.config ?? {};
        if (limits) {
            this.server.headersTimeout = limits.headerTimeoutMs;
            this.server.keepAliveTimeout = limits.idleTimeoutMs;
            this.connections.limitHeads(limits.maxHeaderBytes);
        }
    }

    /** Stops accepting connections, by the deadline on the monotonic clock at the latest. */
    stopListening(deadlineAt: number): Promise<void> {
        this.bodyCutoff.setExit(deadlineAt);
        return this.gracefulClose.stopListening(deadlineAt);
    }

    /** Finishes requests until the deadline on the monotonic clock. */
    finishRequests(deadlineAt: number): Promise<void> {
        return this.gracefulClose.finishRequests(() => this.gateway.inProgress, deadlineAt);
    }

    /** Logs the requests that have no whole answer yet, as the process is about to exit. */
    logCutAtExit(): void {
        this.ends.logCutAtExit();
    }

    /** Stops accepting connections and finishes requests until the deadline on the monotonic clock. */
    async close(deadlineAt: number): Promise<void> {
        await this.stopListening(deadlineAt);
        await this.finishRequests(deadlineAt);
        this.logCutAtExit();
    }

    private async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
        if (this.connections.isCut(req)) {
            return;
        }
        const progress = RequestProgress.create(() => this.gateway.exitDeadlineAt);
        this.ends.watch(req, res, progress);
        if (!await this.turns.wait(req.socket, res)) {
            this.ends.drop(res);
            return;
        }
        this.ends.begin(res);
        const presence = CallerPresence.watch(req, res, this.gateway.departures);
        this.gateway.inProgress++;
        res.on("error", err => emit(EventId.CallerWriteFailed, { request: progress.requestId, detail: errorCodeOf(err) }));
        res.on("close", () => this.gateway.inProgress--);
        if (this.gateway.isStopping && this.turns.isNewest(req.socket, res)) {
            res.setHeader("Connection", "close");
        }
        try {
            const call = await this.toCall(req, res, progress, presence);
            if (call && !presence.signal.aborted) {
                await Forwarder.create(this.gateway, call).run();
            }
        }
        catch (err) {
            answerUnexpectedError(req, res, progress, err);
        }
    }

    /** Reads a request and finds its route; answers it with a failure if either does not succeed. */
    private async toCall(
        req: IncomingMessage,
        res: ServerResponse,
        progress: RequestProgress,
        presence: CallerPresence,
    ): Promise<Call | undefined> {
        const { gateway } = this;
        const caller = gateway.wire.decodeCaller(req.headers);
        progress.requestId = caller.requestId;
        const refuse = (failure: Failure, logFields: Readonly<Record<string, unknown>> = {}): undefined => {
            if (!req.complete) {
                // The rest of the body is not read, so the connection cannot be reused.
                res.setHeader("Connection", "close");
            }
            answerFailure(res, progress, failure, { host: req.headers.host, path: req.url, configVersion: gateway.config?.version, ...logFields });
            return undefined;
        };
        const refusal = this.connections.refusalOf(req);
        if (refusal) {
            const { kind, detail, retryAfterMs, memory } = refusal;
            res.setHeader("Connection", "close");
            return refuse(refusalOf(kind, detail, retryAfterMs), { memory });
        }
        const { config, routes } = gateway;
        if (!config || !routes) {
            return refuse(refusalOf(FailureKind.NotReady, "the node has not received a configuration yet", startingRetryAfterMs));
        }
        if (headerBytes(req) > config.limits.maxHeaderBytes) {
            return refuse(refusalOf(FailureKind.HeadersTooLarge, "the request headers exceed the configured limit"));
        }
        const path = (req.url ?? "/").split("?", 1)[0]!;
        const route = routes.find(hostOf(req), path);
        if (!route) {
            return refuse(refusalOf(FailureKind.UnknownPath, "no route matches this host and path"));
        }
        const timeoutMs = Math.min(caller.deadlineMs ?? route.timeoutMs, route.timeoutMs);
        const suspects = SuspectParts.create(req, caller.modelRequest);
        const bodyResult = await readRequestBody(req, res, gateway.memory, {
            maxBytes: config.limits.maxBodyBytes,
            timeoutMs,
            signal: presence.signal,
            cutoff: this.bodyCutoff,
            progress,
            onPart: bytes => suspects.addPart(bytes),
        });
        if (!await presence.confirm()) {
            return undefined;
        }
        if (bodyResult.kind === "lost") {
            throw new Error("the request body ended early on a connection that is open");
        }
        if (bodyResult.kind === "no-memory") {
            const { retryAfterMs, memory } = bodyResult.denial;
            return refuse(refusalOf(FailureKind.MemoryShort, "the node has no memory for the request body in its time", retryAfterMs), { memory });
        }
        if (bodyResult.kind === "stopping") {
            if (this.turns.isNewest(req.socket, res)) {
                res.setHeader("Connection", "close");
            }
            return refuse(refusalOf(FailureKind.Stopping, "the node is shutting down and the request body is not complete", stoppingRetryAfterMs));
        }
        if (bodyResult.kind !== "whole") {
            return refuse(
                refusalOf(bodyResult.kind === "slow" ? FailureKind.SlowSender : FailureKind.BodyTooLarge, "the request body was not read completely"),
            );
        }
        progress.step = RequestStep.Read;
        return {
            req,
            res,
            caller,
            route,
            service: chooseTarget(route.targets, gateway.random) ?? "",
            configVersion: config.version,
            headers: headersToForward(req, gateway.wire),
            body: bodyResult.body,
            bodyMemory: bodyResult.memory,
            suspectParts: suspects.finish(),
            startedAt: progress.startedAt,
            deadlineAt: progress.startedAt + timeoutMs,
            versionPin: createVersionPin(),
            progress,
            presence,
            signal: presence.signal,
        };
    }
}

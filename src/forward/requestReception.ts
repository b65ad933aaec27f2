import type { IncomingMessage, ServerResponse } from "node:http";
import { combinedPriorityOf } from "../core/requestPriority";
import { chooseTarget } from "../core/routeTable";
import { EventId } from "../types/eventId";
import type { Failure } from "../types/failure";
import { FailureKind } from "../types/failureKind";
import type { RelayedRequest } from "../types/relayedRequest";
import { RequestStep } from "../types/requestStep";
import type { ServiceRoute } from "../types/servingConfig";
import { Verdict } from "../types/verdict";
import { emit } from "../utils/events";
import type { Random } from "../utils/random";
import { errorCodeOf } from "../utils/transport";
import { answerFailure } from "./answerFailure";
import { answerUnexpectedError } from "./answerUnexpectedError";
import { BodyCutoff } from "./bodyCutoff";
import type { Call } from "./call";
import type { CallerConnections } from "./callerConnections";
import { CallerPresence } from "./callerPresence";
import { ConnectionTurns } from "./connectionTurns";
import { forwardCharged } from "./forwardCharged";
import type { Gateway } from "./gateway";
import { readKey } from "./readKey";
import { refuseReadKey } from "./refuseKey";
import { relayHeaderBytes } from "./relayHeaders";
import { readRequestBody } from "./requestBody";
import { RequestEnds } from "./requestEnds";
import { headerBytes, headersToForward, hostOf, lacksHost } from "./requestHead";
import { RequestProgress } from "./requestProgress";
import { SuspectParts } from "./suspectParts";
import { createVersionPin } from "./versionPin";

/** Retry-After while the node has no configuration. */
const startingRetryAfterMs = 500;

/** Retry-After of a stopping node: another one can accept the request at once. */
const stoppingRetryAfterMs = 50;

const refusalOf = (kind: FailureKind, detail: string, retryAfterMs?: number): Failure => ({ kind, detail, verdict: Verdict.NotRun, retryAfterMs });

/** The service of a request: the one that the peer chose, if this node's configuration allows it. */
const chooseService = ({ targets }: ServiceRoute, relayed: RelayedRequest | undefined, random: Random): string =>
    targets.find(({ service, weight }) => service === relayed?.service && weight > 0)?.service ?? chooseTarget(targets, random) ?? "";

/** Reads requests, of callers and of peers that pass theirs on, and has them forwarded. */
export class RequestReception {
    private readonly turns = ConnectionTurns.create();
    private readonly bodyCutoff = BodyCutoff.create();
    private readonly ends: RequestEnds;

    private constructor(private readonly gateway: Gateway, private readonly connections: CallerConnections) {
        this.ends = RequestEnds.create(gateway);
    }

    static create(gateway: Gateway, connections: CallerConnections): RequestReception {
        return new RequestReception(gateway, connections);
    }

    /** Sets when the process exits at the latest, on the monotonic clock. */
    setExit(deadlineAt: number): void {
        this.bodyCutoff.setExit(deadlineAt);
    }

    /** Logs the requests that have no whole answer yet, as the process is about to exit. */
    logCutAtExit(): void {
        this.ends.logCutAtExit();
    }

    /** Answers a request, of a caller or as a peer passes it on. */
    async handle(req: IncomingMessage, res: ServerResponse, relayed?: RelayedRequest): Promise<void> {
        if (this.connections.isCut(req)) {
            return;
        }
        const progress = RequestProgress.create(() => this.gateway.exitDeadlineAt, relayed);
        this.ends.watch(req, res, progress);
        if (relayed) {
            this.connections.takeOver(req, res);
        }
        if (!await this.turns.wait(req.socket, res)) {
            this.ends.drop(res);
            return;
        }
        this.ends.begin(res);
        const isBodyTaken = this.connections.beginTurn(req);
        const presence = CallerPresence.watch(req, res, this.gateway.departures);
        this.gateway.inProgress++;
        res.on("error", err => emit(EventId.CallerWriteFailed, { request: progress.requestId, detail: errorCodeOf(err) }));
        res.on("close", () => this.gateway.inProgress--);
        if (this.gateway.isStopping && this.turns.isNewest(req.socket, res)) {
            res.setHeader("Connection", "close");
        }
        try {
            const call = await this.toCall(req, res, progress, presence, isBodyTaken);
            if (call && !presence.signal.aborted) {
                await forwardCharged(this.gateway, call);
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
        isBodyTaken: boolean,
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
        if (!isBodyTaken) {
            return refuse(refusalOf(FailureKind.Stopping, "the node is shutting down and reads no more of what was sent far ahead", stoppingRetryAfterMs));
        }
        if (lacksHost(req)) {
            res.setHeader("Connection", "close");
            return refuse(refusalOf(FailureKind.BadRequest, "the request has no Host header"));
        }
        const { config, routes } = gateway;
        if (!config || !routes) {
            return refuse(refusalOf(FailureKind.NotReady, "the node has not received a configuration yet", startingRetryAfterMs));
        }
        const { relayed } = progress;
        if (headerBytes(req) - relayHeaderBytes(req.headers) > config.limits.maxHeaderBytes) {
            return refuse(refusalOf(FailureKind.HeadersTooLarge, "the request headers exceed the configured limit"));
        }
        const path = (req.url ?? "/").split("?", 1)[0]!;
        const route = routes.find(hostOf(req), path);
        if (!route) {
            return refuse(refusalOf(FailureKind.UnknownPath, "no route matches this host and path"));
        }
        const key = readKey(gateway.wire, req.rawHeaders, relayed);
        const keyRefusal = refuseReadKey(gateway, route, key, caller.requestId);
        if (keyRefusal) {
            const { kind = FailureKind.WrongKey, detail, retryAfterMs } = keyRefusal;
            return refuse(refusalOf(kind, detail, retryAfterMs), { route: route.name, configAgeMs: gateway.confirmation.roundedAgeMs });
        }
        const keyDigest = "digest" in key ? key.digest : undefined;
        const customer = route.isPublic === true ? undefined : gateway.customers?.find(keyDigest);
        const priority = gateway.customers ? combinedPriorityOf(customer, route) : route.priority;
        const timeoutMs = Math.min(relayed?.remainingMs ?? caller.deadlineMs ?? route.timeoutMs, route.timeoutMs);
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
            route: relayed ? { ...route, maxAttempts: Math.min(route.maxAttempts, relayed.maxRuns) } : route,
            customer,
            keyDigest,
            priority,
            service: chooseService(route, relayed, gateway.random),
            configVersion: config.version,
            headers: headersToForward(req, gateway.wire),
            body: bodyResult.body,
            bodyMemory: bodyResult.memory,
            suspectParts: suspects.finish(),
            startedAt: progress.startedAt - (relayed?.elapsedMs ?? 0),
            deadlineAt: progress.startedAt + timeoutMs,
            versionPin: createVersionPin(relayed?.streamVersion, relayed?.recordedVersion),
            progress,
            presence,
            signal: presence.signal,
        };
    }
}

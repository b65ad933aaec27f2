import { randomUUID } from "node:crypto";
import { readFileSync } from "node:fs";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer } from "node:http";
import { createServer as createTlsServer } from "node:https";
import { raise, toFailure } from "../core/failures";
import { PassingWaits } from "../core/passingWaits";
import type { NodeContext } from "../node/context";
import { NodeStage } from "../node/context";
import { FailureKind } from "../types/failureKind";
import type { HttpExchange, HttpRoute } from "../types/httpExchange";
import { GracefulClose } from "../utils/gracefulClose";
import { listenOnAll } from "../utils/listenOn";
import { sendFailure } from "../utils/problems";

const headersTimeoutMs = 10_000;
const idleTimeoutMs = 65_000;
const maxHeaderBytes = 32_768;
/** Time in which a stopping node accepts the connections that wait; the grace period may be long, and new ones may come without end. */
const maxAcceptMs = 5_000;

const findRoute = (routes: readonly HttpRoute[], path: string): HttpRoute | undefined =>
    routes.find(route => route.path.endsWith("/") ? path.startsWith(route.path) : path === route.path);

/** URL of a request. Its target is appended to the origin: resolved against it, a target such as `//` would be no valid URL. */
const urlOf = (req: IncomingMessage): URL => new URL(`http://node${req.url?.startsWith("/") ? req.url : "/"}`);

/** The HTTP server of a standalone node: routes each request and sends failures as problem documents. */
export class StandaloneNodeServer {
    private readonly routes: HttpRoute[] = [];
    private readonly server: Server;
    private readonly gracefulClose: GracefulClose;

    private constructor(private readonly node: NodeContext) {
        const listener = (req: IncomingMessage, res: ServerResponse) => void this.handle(req, res);
        const options = { headersTimeout: headersTimeoutMs, keepAliveTimeout: idleTimeoutMs, requestTimeout: 0, maxHeaderSize: maxHeaderBytes };
        const { tlsKeyFile, tlsCertificateFile } = node.cfg;
        this.server = tlsKeyFile !== undefined && tlsCertificateFile !== undefined
            ? createTlsServer({ ...options, key: readFileSync(tlsKeyFile), cert: readFileSync(tlsCertificateFile) }, listener)
            : createServer(options, listener);
        this.gracefulClose = GracefulClose.create(this.server);
    }

    /** Creates a server that does not listen yet. */
    static create(node: NodeContext): StandaloneNodeServer {
        return new StandaloneNodeServer(node);
    }

    /** Adds routes; the first whose path matches handles the request. */
    addRoutes(...routes: readonly HttpRoute[]): void {
        this.routes.push(...routes);
    }

    /** Starts to listen on the node's address; waits while it cannot be used. Returns false if the node was stopped before. */
    listen(): Promise<boolean> {
        const { cfg, signal } = this.node;
        return listenOnAll([{ server: this.server, address: cfg.listen }], PassingWaits.create(signal));
    }

    /** Stops accepting connections and finishes requests until the deadline on the monotonic clock. */
    async close(deadlineAt: number): Promise<void> {
        const acceptsUntil = Math.min(deadlineAt, performance.now() + maxAcceptMs);
        await this.gracefulClose.stopListening(() => acceptsUntil);
        await this.gracefulClose.finishRequests(() => this.node.inProgress, deadlineAt);
    }

    /** Destroys every connection. */
    destroyConnections(): void {
        this.server.closeAllConnections();
    }

    private async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
        const callerAbort = new AbortController();
        const exchange: HttpExchange = {
            requestId: randomUUID(),
            req,
            res,
            url: urlOf(req),
            startedAt: performance.now(),
            signal: callerAbort.signal,
        };
        this.node.inProgress++;
        res.once("close", () => {
            this.node.inProgress--;
            if (!res.writableFinished) {
                callerAbort.abort();
            }
        });
        res.on("error", () => callerAbort.abort());
        if (this.node.stage === NodeStage.Stopping) {
            res.setHeader("connection", "close");
        }
        try {
            const route = findRoute(this.routes, exchange.url.pathname);
            if (!route) {
                return raise(FailureKind.UnknownPath, exchange.url.pathname);
            }
            if (!route.methods.includes(req.method ?? "")) {
                return raise(FailureKind.MethodNotAllowed, `${req.method ?? ""} ${exchange.url.pathname}; allowed: ${route.methods.join(", ")}`);
            }
            await route.handle(exchange);
        }
        catch (err) {
            sendFailure(exchange, toFailure(err));
        }
    }
}

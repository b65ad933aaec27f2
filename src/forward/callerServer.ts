import type { Server } from "node:http";
import { createServer } from "node:http";
import type { DrainedBacklog } from "../utils/gracefulClose";
import { GracefulClose } from "../utils/gracefulClose";
import type { ServerPort } from "../utils/listenOn";
import { listenOn } from "../utils/listenOn";
import { CallerConnections } from "./callerConnections";
import type { Gateway } from "./gateway";
import { RequestReception } from "./requestReception";
import { unparsedBytesOf } from "./slicedReader";

/** Limit of the HTTP parser, above what a configuration may allow; the configured limit is checked on each request. */
const maxHeaderBytes = 262_144;
const defaultHeaderTimeoutMs = 10_000;
const defaultIdleTimeoutMs = 15_000;
/** Interval at which connections are checked for senders that are too slow. */
const checkIntervalMs = 1_000;
/** Accepts callers' requests and forwards them. */
export class CallerServer {
    private readonly server: Server;
    private readonly gracefulClose: GracefulClose;
    private readonly connections: CallerConnections;
    /** Handles the requests of callers, and those that peers pass on. */
    readonly reception: RequestReception;

    private constructor(private readonly gateway: Gateway) {
        this.server = createServer({
            maxHeaderSize: maxHeaderBytes,
            headersTimeout: defaultHeaderTimeoutMs,
            requestTimeout: 0,
            keepAliveTimeout: defaultIdleTimeoutMs,
            connectionsCheckingInterval: checkIntervalMs,
            noDelay: true,
            // The runtime would answer such requests without announcing them, and count none of those that are pipelined.
            requireHostHeader: false,
        }, (req, res) => void this.reception.handle(req, res));
        this.gracefulClose = GracefulClose.create(this.server, unparsedBytesOf);
        this.connections = CallerConnections.create(this.server, gateway);
        this.reception = RequestReception.create(gateway, this.connections);
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

    /** What a stop has taken from the listen backlog so far. */
    get drainedBacklog(): DrainedBacklog {
        return this.gracefulClose.drainedBacklog;
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

    /** Stops accepting connections once none waits, by the deadline on the monotonic clock at the latest. */
    stopListening(deadlineAt: () => number): Promise<void> {
        this.reception.setExit(deadlineAt());
        return this.gracefulClose.stopListening(deadlineAt);
    }

    /** Finishes requests until the deadline on the monotonic clock. */
    finishRequests(deadlineAt: number): Promise<void> {
        return this.gracefulClose.finishRequests(() => this.gateway.inProgress, deadlineAt);
    }

    /** Logs the requests that have no whole answer yet, as the process is about to exit. */
    logCutAtExit(): void {
        this.reception.logCutAtExit();
    }

    /** Stops accepting connections and finishes requests until the deadline on the monotonic clock. */
    async close(deadlineAt: number): Promise<void> {
        await this.stopListening(() => deadlineAt);
        await this.finishRequests(deadlineAt);
        this.logCutAtExit();
    }
}

import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { DescriptorBudget } from "../core/descriptorBudget";
import { EventId } from "../types/eventId";
import { MemoryHolder } from "../types/memoryHolder";
import { emit } from "../utils/events";
import type { Gateway } from "./gateway";

/** Charge for a connection of a caller with what it holds of an incomplete head. */
const connectionBytes = 16_384;
/** Limit of the parser under a configuration: this multiple of the configured limit, and no less than this. */
const parserHeaderFactor = 2;
const minParserHeaderBytes = 16_384;
/** Closed connections are logged together, at this interval. */
const logIntervalMs = 1_000;

/** Connections of callers, idle ones among them, within the memory and descriptors of the process. */
export class CallerConnections {
    private readonly descriptors: DescriptorBudget<Socket>;
    /** Requests that must be refused for want of descriptors. */
    private readonly refused = new WeakSet<IncomingMessage>();
    private closedCount = 0;

    private constructor(private readonly server: Server, private readonly gateway: Gateway) {
        this.descriptors = DescriptorBudget.create<Socket>({
            maxDescriptors: () => gateway.settings.maxDescriptors,
            upstreamConnections: () => gateway.upstreamConnections,
            close: socket => this.closeIdle(socket),
        });
        server.on("connection", (socket: Socket) => this.onOpened(socket));
        // Before the handler of requests, which asks whether a request is refused.
        server.prependListener("request", (req: IncomingMessage, res: ServerResponse) => this.onRequest(req, res));
    }

    /** Follows the connections of a server that does not listen yet. */
    static create(server: Server, gateway: Gateway): CallerConnections {
        return new CallerConnections(server, gateway);
    }

    /** Number of open connections. */
    get openCount(): number {
        return this.descriptors.connections;
    }

    /** Whether there is no descriptor for serving a request. */
    isRefused(req: IncomingMessage): boolean {
        return this.refused.has(req);
    }

    /** Bounds what a connection may hold of a head. Heads that are somewhat too large are still read and refused with a reason. */
    limitHeads(maxHeaderBytes: number): void {
        const server = this.server as Server & { maxHeaderSize?: number; };
        server.maxHeaderSize = Math.max(minParserHeaderBytes, parserHeaderFactor * maxHeaderBytes);
    }

    private onOpened(socket: Socket): void {
        const { memory } = this.gateway;
        memory.charge(MemoryHolder.CallerConnections, connectionBytes);
        socket.once("close", () => {
            memory.charge(MemoryHolder.CallerConnections, -connectionBytes);
            this.descriptors.remove(socket);
        });
        if (!this.descriptors.open(socket)) {
            this.closeIdle(socket);
        }
    }

    private onRequest(req: IncomingMessage, res: ServerResponse): void {
        const { socket } = req;
        this.gateway.heapWatch.check();
        if (!this.descriptors.begin(socket)) {
            this.refused.add(req);
        }
        res.once("close", () => this.descriptors.end(socket));
    }

    private closeIdle(socket: Socket): void {
        socket.destroy();
        this.closedCount++;
        if (this.closedCount === 1) {
            setTimeout(() => this.logClosed(), logIntervalMs).unref();
        }
    }

    private logClosed(): void {
        emit(EventId.IdleConnectionsClosed, { closed: this.closedCount, open: this.openCount, used: this.descriptors.used, limit: this.descriptors.limit });
        this.closedCount = 0;
    }
}
